package forward

import (
	"fmt"

	"github.com/VictoriaMetrics/metrics"
)

var (
	refusedTotal  = metrics.NewCounter("wisteriafield_calls_refused_total")
	lostTotal     = metrics.NewCounter("wisteriafield_calls_lost_total")
	repeatsTotal  = metrics.NewCounter("wisteriafield_calls_repeated_total")
	answerSeconds = metrics.NewHistogram("wisteriafield_call_answer_seconds")
)

// sendsTotal counts sends by what came of them.
func sendsTotal(o *outcome) *metrics.Counter {
	result := "Answered"
	switch {
	case o.err != nil:
		result = "Lost"
	case o.notRun:
		result = "NotRun"
	}
	return metrics.GetOrCreateCounter(fmt.Sprintf("wisteriafield_call_sends_total{outcome=%q}", result))
}
