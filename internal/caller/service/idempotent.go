package service

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"

	routed "wisteriafield/internal/backend/server"
	backend "wisteriafield/internal/backend/service"
	"wisteriafield/internal/caller/apierror"
	"wisteriafield/internal/caller/openai"
	"wisteriafield/internal/config/document"
	"wisteriafield/internal/decision/limit"
)

var (
	hedgesTotal  = metrics.NewCounter("wisteriafield_hedges_total")
	retriesTotal = metrics.NewCounter("wisteriafield_service_retries_total")
)

// serviceBudgets bounds the hedges and the retries of one service.
type serviceBudgets struct {
	mu      sync.Mutex
	hedges  limit.RetryBudget
	retries limit.RetryBudget
}

var budgetsByService sync.Map // service name to *serviceBudgets

// budgetsFor returns the budgets of a service, with the policy's current shares and
// a deposit for one call.
func budgetsFor(name string, p *document.Policy) *serviceBudgets {
	fresh := &serviceBudgets{hedges: *limit.NewRetryBudget(p.HedgeShare), retries: *limit.NewRetryBudget(p.RetryShare)}
	v, _ := budgetsByService.LoadOrStore(name, fresh)
	b := v.(*serviceBudgets)
	b.mu.Lock()
	defer b.mu.Unlock()
	b.hedges.Share, b.retries.Share = p.HedgeShare, p.RetryShare
	b.hedges.Deposit()
	b.retries.Deposit()
	return b
}

func (b *serviceBudgets) withdraw(budget *limit.RetryBudget) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return budget.Withdraw()
}

type attemptResult struct {
	answer    *backend.Answer
	startedAt time.Time
	err       error
	crashed   bool // the server is gone
}

// serveIdempotent sends a call and, within the budgets, sends it to further servers
// when one is slow or fails. The first answer wins. Once a server has crashed, the call is at
// one server at a time, as it may crash each, and goes on to another one only if those that
// have it stay silent for longer than the first crash took.
func (h *Handler) serveIdempotent(ctx context.Context, w http.ResponseWriter, view *document.View, o *document.Organisation, s *document.Service, call backend.Call) {
	suspect := suspectOf(o.Name, s, call)
	if until, refused := h.refuses(suspect, s); refused {
		blockedRefusal(until).Write(w)
		return
	}
	suspect.Deadline, _ = ctx.Deadline()
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	b := budgetsFor(s.Name, &view.Policy)
	candidates := h.servers.order(s, h.isLeaving)
	results := make(chan attemptResult, len(candidates))
	running, next := 0, 0
	mayHaveRun, crashes := false, 0
	mayStart := func() bool {
		if ctx.Err() != nil || next >= len(candidates) {
			return false
		}
		_, refused := h.refuses(suspect, s)
		return !refused
	}
	var newestAt time.Time // when the newest attempt was started
	startNext := func() {
		if next >= len(candidates) {
			return
		}
		go h.sendTo(ctx, candidates[next], call, suspect, results)
		next++
		running++
		newestAt = time.Now()
	}
	defer func() { go releaseAnswers(results, running) }()
	startNext()
	hedgeTimer := time.NewTimer(view.Policy.HedgeAfter)
	defer hedgeTimer.Stop()
	var maxSilence time.Duration // of a server that the call may crash
	for running > 0 {
		select {
		case r := <-results:
			running--
			if r.err == nil {
				cancel(errAnswered)
				defer r.answer.Release()
				writeAnswer(w, r.answer)
				return
			}
			mayHaveRun = mayHaveRun || !isNotSent(r.err)
			if r.crashed {
				crashes++
				maxSilence = view.Policy.HedgeAfter + time.Since(r.startedAt)
			}
			if (crashes == 0 || running == 0) && mayStart() && b.withdraw(&b.retries) {
				retriesTotal.Inc()
				startNext()
			}
			if crashes > 0 && running > 0 {
				hedgeTimer.Reset(time.Until(newestAt.Add(maxSilence)))
			}
		case <-hedgeTimer.C:
			if crashes <= 1 && mayStart() && b.withdraw(&b.hedges) {
				hedgesTotal.Inc()
				startNext()
			}
		}
	}
	unansweredRefusal(mayHaveRun).Write(w)
}

// releaseAnswers releases the answers of attempts that are still running.
func releaseAnswers(results <-chan attemptResult, running int) {
	for range running {
		r := <-results
		r.answer.Release()
	}
}

// unansweredRefusal returns the refusal of a call that no server answered. Only if no
// attempt reached a server is it certain that the call did not run.
func unansweredRefusal(mayHaveRun bool) *apierror.Error {
	retryAt := time.Now().Add(time.Second)
	if mayHaveRun {
		return apierror.NewRetryable(apierror.UnknownOutcome, "no server of the service answered; the call may have run and is repeatable", retryAt)
	}
	return apierror.NewRetryable(apierror.NotRun, "no server of the service could be reached; the call is repeatable", retryAt)
}

func (h *Handler) sendTo(ctx context.Context, to server, call backend.Call, suspect *routed.Request, results chan<- attemptResult) {
	startedAt := time.Now()
	done := h.servers.beginCall(to.name)
	answer, err := h.client.Do(ctx, to.address, call)
	if ctx.Err() != nil {
		done(nil)
	} else {
		done(err)
	}
	crashed := h.observe(ctx, suspect, to, err)
	results <- attemptResult{answer, startedAt, err, crashed}
}

func writeAnswer(w http.ResponseWriter, a *backend.Answer) {
	if v := a.Header.Get("Content-Type"); v != "" {
		w.Header().Set("Content-Type", v)
	}
	openai.LimitWriting(w)
	w.WriteHeader(a.Status)
	_, _ = w.Write(a.Body)
}
