package placing

import "github.com/VictoriaMetrics/metrics"

var (
	questionsTotal    = metrics.NewCounter("wisteriafield_placement_questions_total")
	answersTotal      = metrics.NewCounter("wisteriafield_placement_answers_total")
	timeoutsTotal     = metrics.NewCounter("wisteriafield_placement_timeouts_total")
	offersMadeTotal   = metrics.NewCounter("wisteriafield_placement_offers_made_total")
	lossChecksTotal   = metrics.NewCounter("wisteriafield_placement_loss_checks_total")
	bytesSentTotal    = metrics.NewCounter("wisteriafield_placement_bytes_sent_total")
	noticesSentTotal  = metrics.NewCounter("wisteriafield_placement_notices_total")
	tableEntries      = metrics.NewGauge("wisteriafield_placement_table_entries", nil)
	runningReportable = metrics.NewGauge("wisteriafield_placement_running", nil)
)
