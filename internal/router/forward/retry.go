package forward

import (
	"time"

	"wisteriafield/internal/backend/server"
)

// retryBudgetInterval is the least time between two questions for a retry.
const retryBudgetInterval = 100 * time.Millisecond

// borrowedRetries is how many retries a denied call borrows. Failures come in groups.
const borrowedRetries = 3

// spendRetry takes a retry or a hedge from the retry budget if a server could get it, and
// reports whether the budget allowed it.
func (c *call) spendRetry() bool {
	if len(c.f.candidates(c.service.Name, c.excluded)) == 0 {
		return false
	}
	if _, quarantined := c.f.cfg.Quarantine.Refuses(c.req); quarantined {
		return false
	}
	if c.unused > 0 {
		c.unused--
		return true
	}
	now := time.Now()
	if c.denied = !c.f.cfg.RetryBudget.Allow(c.service.Name, now); c.denied {
		if c.f.cfg.Borrow != nil && c.executed > 0 && !c.best.hasAnswer() {
			c.loan = c.f.cfg.Borrow(c.service.Name, borrowedRetries)
		}
		return false
	}
	c.takenAt = now
	retriesTotal.Inc()
	return true
}

// returnRetries gives back the retries that were taken and not sent.
func (c *call) returnRetries() {
	for ; c.unused > 0; c.unused-- {
		c.f.cfg.RetryBudget.Return(c.service.Name, c.takenAt, time.Now())
	}
}

// askAgainAt returns when to ask again for a retry, or the zero time unless the budget has denied
// it and is expected to have one that can still be answered, or peers may lend one. A hedge, which
// is one while another server has the request, asks less often: requests that no server has come
// first. One that no server has executed is refused at once, and a server's own error is not held
// back.
func (c *call) askAgainAt(now time.Time, hedge bool) time.Time {
	if !c.denied || !hedge && (c.executed == 0 || c.best.hasAnswer()) {
		return time.Time{}
	}
	answerTime := max(c.hedgeDelay(), c.f.leastLatency(c.service.Name, c.excluded, now))
	next := c.f.cfg.RetryBudget.NextAt(c.service.Name, now)
	if next.IsZero() || next.Add(answerTime).After(c.req.AnswerBy()) {
		askAt := now.Add(retryBudgetInterval)
		if c.loan == nil || c.awaitedLoan || askAt.Add(answerTime).After(c.req.AnswerBy()) {
			return time.Time{}
		}
		c.awaitedLoan = true
		return askAt
	}
	if hedge {
		return now.Add(max(c.hedgeDelay(), retryBudgetInterval))
	}
	return now.Add(retryBudgetInterval)
}

// hedgeDelay returns the time in which most requests of the route are answered.
func (c *call) hedgeDelay() time.Duration {
	return time.Duration(hedgeDelayFactor * float64(c.req.Route.LatencyTarget))
}

// leastLatency returns the mean time to an answer of the fastest candidate.
func (f *Forwarder) leastLatency(service string, excluded map[server.Key]bool, now time.Time) time.Duration {
	var least time.Duration
	for i, e := range f.candidates(service, excluded) {
		if latency := e.Load.State(now).Latency; i == 0 || latency < least {
			least = latency
		}
	}
	return least
}
