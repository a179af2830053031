package relay

import (
	"context"
	"time"

	"wisteriafield/internal/backend/registry"
	"wisteriafield/internal/decision/balance"
)

const (
	// loadProbeCount is how many engines are probed for their load before one is chosen.
	loadProbeCount = 4
	// loadProbeTimeout bounds the wait for the answers, which take two round trips of
	// 1 to 2 ms each.
	loadProbeTimeout = 25 * time.Millisecond
)

// probeLoads probes the sampled candidates for their load and returns those that answered,
// with that load, or the whole sample as it was if none did.
func (r *Relay) probeLoads(ctx context.Context, entries []*registry.Entry, candidates []balance.Engine, sample []int, promptTokens int) ([]*registry.Entry, []balance.Engine) {
	ctx, cancel := context.WithTimeout(ctx, loadProbeTimeout)
	defer cancel()
	type reply struct {
		i      int
		report balance.LoadReport
		ok     bool
	}
	replies := make(chan reply, len(sample))
	for _, i := range sample {
		go func() {
			report, ok := r.probeLoad(ctx, entries[i])
			replies <- reply{i, report, ok}
		}()
	}
	var responsive, unresponsive []*registry.Entry
	var responsiveCandidates, unresponsiveCandidates []balance.Engine
	for range sample {
		got := <-replies
		e, c := entries[got.i], candidates[got.i]
		if got.ok {
			responsive, responsiveCandidates = append(responsive, e), append(responsiveCandidates, c.WithReport(got.report, promptTokens))
		} else {
			unresponsive, unresponsiveCandidates = append(unresponsive, e), append(unresponsiveCandidates, c)
		}
	}
	if len(responsive) == 0 {
		return unresponsive, unresponsiveCandidates
	}
	return responsive, responsiveCandidates
}

// probeLoad probes an engine for its load.
func (r *Relay) probeLoad(ctx context.Context, e *registry.Entry) (balance.LoadReport, bool) {
	report, ok := r.probe(ctx, e)
	if !ok {
		return balance.LoadReport{}, false
	}
	return balance.LoadReport{
		Waiting:    report.Queued + max(0, report.Active-len(report.Attempts)),
		Running:    report.Queued + report.Active,
		UsedTokens: report.KVUsedTokens,
	}, true
}
