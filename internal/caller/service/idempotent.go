package service

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"

	backend "wisteriafield/internal/backend/service"
	"wisteriafield/internal/caller/apierror"
	"wisteriafield/internal/config/document"
	"wisteriafield/internal/decision/limit"
)

var (
	hedgesTotal  = metrics.NewCounter("wisteriafield_hedges_total")
	retriesTotal = metrics.NewCounter("wisteriafield_service_retries_total")
)

// budgets bounds hedges and retries of one service.
type budgets struct {
	mu     sync.Mutex
	hedges limit.RetryBudget
	retry  limit.RetryBudget
}

var allBudgets sync.Map // service name to *budgets

func budgetsOf(name string, p *document.Policy) *budgets {
	fresh := &budgets{hedges: *limit.NewRetryBudget(p.HedgeShare), retry: *limit.NewRetryBudget(p.RetryShare)}
	v, _ := allBudgets.LoadOrStore(name, fresh)
	b := v.(*budgets)
	b.mu.Lock()
	defer b.mu.Unlock()
	b.hedges.Share, b.retry.Share = p.HedgeShare, p.RetryShare
	b.hedges.Deposit()
	b.retry.Deposit()
	return b
}

func (b *budgets) withdraw(which *limit.RetryBudget) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return which.Withdraw()
}

type attemptResult struct {
	answer *backend.Answer
	err    error
}

// repeatable sends a call and, within the budgets, sends it to another server
// when the first is slow or fails. The first answer wins.
func (h *Handler) repeatable(ctx context.Context, w http.ResponseWriter, view *document.View, s *document.Service, call backend.Call) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	b := budgetsOf(s.Name, &view.Policy)
	order := h.servers.order(s, h.leaving)
	results := make(chan attemptResult, len(order))
	running, next := 0, 0
	send := func() {
		if next >= len(order) {
			return
		}
		go h.sendTo(ctx, order[next], call, results)
		next++
		running++
	}
	send()
	hedge := time.NewTimer(view.Policy.HedgeAfter)
	defer hedge.Stop()
	for running > 0 {
		select {
		case r := <-results:
			running--
			if r.err == nil {
				writeAnswer(w, r.answer)
				return
			}
			if ctx.Err() == nil && next < len(order) && b.withdraw(&b.retry) {
				retriesTotal.Inc()
				send()
			}
		case <-hedge.C:
			if next < len(order) && b.withdraw(&b.hedges) {
				hedgesTotal.Inc()
				send()
			}
		}
	}
	apierror.NewRetryable(apierror.NotRun, "no server of the service answered; the call is repeatable", time.Now().Add(time.Second)).Write(w)
}

func (h *Handler) sendTo(ctx context.Context, to server, call backend.Call, results chan<- attemptResult) {
	done := h.servers.begin(to.name)
	answer, err := h.client.Do(ctx, to.address, call)
	if ctx.Err() != nil {
		done(nil)
	} else {
		done(err)
	}
	results <- attemptResult{answer, err}
}

func writeAnswer(w http.ResponseWriter, a *backend.Answer) {
	if v := a.Header.Get("Content-Type"); v != "" {
		w.Header().Set("Content-Type", v)
	}
	w.WriteHeader(a.Status)
	_, _ = w.Write(a.Body)
}
