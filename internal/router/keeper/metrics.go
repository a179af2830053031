package keeper

import (
	"fmt"

	"github.com/VictoriaMetrics/metrics"

	"wisteriafield/internal/decision/admission"
)

var (
	attemptsTotal  = metrics.NewCounter("wisteriafield_attempts_total")
	lostTotal      = metrics.NewCounter("wisteriafield_attempts_lost_total")
	abandonedTotal = metrics.NewCounter("wisteriafield_attempts_abandoned_total")
	probesTotal    = metrics.NewCounter("wisteriafield_probes_total")
	tokensTotal    = metrics.NewCounter("wisteriafield_tokens_total")
)

func refusedTotal(cause admission.Cause) *metrics.Counter {
	return metrics.GetOrCreateCounter(fmt.Sprintf(`wisteriafield_refused_total{cause=%q}`, cause))
}
