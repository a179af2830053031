package relay

import (
	"context"
	"time"

	"wisteriafield/internal/backend/registry"
	"wisteriafield/internal/decision/balance"
)

const (
	// asked is how many engines are asked for their work before one is chosen.
	asked = 4
	// lookTimeout bounds the wait for their answers, which take two round trips
	// of 1 to 2 ms each.
	lookTimeout = 25 * time.Millisecond
)

// look asks some of the candidates for their work and returns those that answered,
// or all of the sample if none did.
func (r *Relay) look(ctx context.Context, entries []*registry.Entry, candidates []balance.Engine, sample []int, prompt int) ([]*registry.Entry, []balance.Engine) {
	ctx, cancel := context.WithTimeout(ctx, lookTimeout)
	defer cancel()
	type reply struct {
		i      int
		report balance.LoadReport
		ok     bool
	}
	replies := make(chan reply, len(sample))
	for _, i := range sample {
		go func() {
			report, ok := r.workOf(ctx, entries[i])
			replies <- reply{i, report, ok}
		}()
	}
	var answered, silent []*registry.Entry
	var known, unknown []balance.Engine
	for range sample {
		got := <-replies
		e, c := entries[got.i], candidates[got.i]
		if got.ok {
			answered, known = append(answered, e), append(known, c.WithReport(got.report, prompt))
		} else {
			silent, unknown = append(silent, e), append(unknown, c)
		}
	}
	if len(answered) == 0 {
		return silent, unknown
	}
	return answered, known
}

// workOf asks an engine for its work.
func (r *Relay) workOf(ctx context.Context, e *registry.Entry) (balance.LoadReport, bool) {
	report, ok := r.ask(ctx, e)
	if !ok {
		return balance.LoadReport{}, false
	}
	return balance.LoadReport{
		Waiting:    report.Queued + max(0, report.Active-len(report.Attempts)),
		Running:    report.Queued + report.Active,
		UsedTokens: report.KVUsedTokens,
	}, true
}
