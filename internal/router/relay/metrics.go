package relay

import (
	"fmt"

	"github.com/VictoriaMetrics/metrics"
)

var (
	servedTotal    = metrics.NewCounter("wisteriafield_streams_served_total")
	givenUpTotal   = metrics.NewCounter("wisteriafield_streams_given_up_total")
	refusedTotal   = metrics.NewCounter("wisteriafield_streams_refused_total")
	cameBackTotal  = metrics.NewCounter("wisteriafield_callers_came_back_total")
	surveysTotal   = metrics.NewCounter("wisteriafield_surveys_total")
	questionsTotal = metrics.NewCounter("wisteriafield_engine_questions_total")
	sparesTotal    = metrics.NewCounter("wisteriafield_runs_copied_again_total")
	firstSeconds   = metrics.NewHistogram("wisteriafield_first_event_seconds")
	pauseSeconds   = metrics.NewHistogram("wisteriafield_resume_pause_seconds")
)

// attemptsTotal counts attempts by how they ended, from a copy or not.
func attemptsTotal(k kind, copied bool) *metrics.Counter {
	return metrics.GetOrCreateCounter(fmt.Sprintf("wisteriafield_stream_attempts_total{outcome=%q,copy=\"%t\"}", k, copied))
}
