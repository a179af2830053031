package forward

import (
	"fmt"

	"github.com/VictoriaMetrics/metrics"
)

var (
	refusedTotal  = metrics.NewCounter("wisteriafield_calls_refused_total")
	lostTotal     = metrics.NewCounter("wisteriafield_calls_lost_total")
	retriesTotal  = metrics.NewCounter("wisteriafield_calls_repeated_total")
	answerSeconds = metrics.NewHistogram("wisteriafield_call_answer_seconds")
)

// attemptsTotal counts attempts by their outcome.
func attemptsTotal(r *result) *metrics.Counter {
	outcome := "Answered"
	switch {
	case r.err != nil:
		outcome = "Lost"
	case r.notExecuted:
		outcome = "NotRun"
	}
	return metrics.GetOrCreateCounter(fmt.Sprintf("wisteriafield_call_sends_total{outcome=%q}", outcome))
}
