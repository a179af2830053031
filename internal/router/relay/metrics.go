package relay

import (
	"fmt"

	"github.com/VictoriaMetrics/metrics"
)

var (
	servedTotal             = metrics.NewCounter("wisteriafield_streams_served_total")
	abandonedTotal          = metrics.NewCounter("wisteriafield_streams_given_up_total")
	refusedTotal            = metrics.NewCounter("wisteriafield_streams_refused_total")
	reconnectsTotal         = metrics.NewCounter("wisteriafield_callers_came_back_total")
	domainChecksTotal       = metrics.NewCounter("wisteriafield_surveys_total")
	probesTotal             = metrics.NewCounter("wisteriafield_engine_questions_total")
	probedInsteadTotal      = metrics.NewCounter("wisteriafield_placement_probed_instead_total")
	replacementBackupsTotal = metrics.NewCounter("wisteriafield_runs_copied_again_total")
	firstEventSeconds       = metrics.NewHistogram("wisteriafield_first_event_seconds")
	resumePauseSeconds      = metrics.NewHistogram("wisteriafield_resume_pause_seconds")
)

// attemptsTotal counts attempts by outcome and by whether they resumed from a backup.
func attemptsTotal(o outcome, fromBackup bool) *metrics.Counter {
	return metrics.GetOrCreateCounter(fmt.Sprintf("wisteriafield_stream_attempts_total{outcome=%q,copy=\"%t\"}", o, fromBackup))
}
