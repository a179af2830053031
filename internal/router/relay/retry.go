package relay

import (
	"context"
	"time"

	"wisteriafield/internal/base/loop"
)

const (
	// retryBudgetInterval is the time between two questions for a retry.
	retryBudgetInterval = 100 * time.Millisecond
	// maxRetryBudgetWait is below the shortest gap after which callers leave a stream, so
	// that those who can reconnect are told in time.
	maxRetryBudgetWait = 1800 * time.Millisecond
)

// takeRetry reports whether another attempt is within the retry budget. A reserved
// retry is, and one that an attempt took that was not sent.
// A stream that has begun waits for the budget, which is replenished all the time, unless it
// can return to a silent engine.
func (s *stream) takeRetry(ctx context.Context) bool {
	if s.retryReserved || s.retryUnused {
		s.retryReserved, s.retryUnused = false, false
		return true
	}
	start := time.Now()
	for denied := 0; ; denied++ {
		now := time.Now()
		if s.allowRetry(now) {
			return true
		}
		if denied == 0 {
			s.relay.cfg.Log.WithField("id", s.req.ID).WithField("sends", s.delivered).WithField("begun", s.headersSent).Info("retry budget exhausted")
		}
		if !s.headersSent || s.silent != nil || now.Sub(start) >= maxRetryBudgetWait || !loop.Sleep(ctx, retryBudgetInterval) {
			return false
		}
	}
}

// allowRetry takes a retry from the budget if there is one left.
func (s *stream) allowRetry(now time.Time) bool {
	if !s.relay.cfg.RetryBudget.Allow(s.service.Name, now) {
		return false
	}
	s.retryTakenAt = now
	return true
}

// returnRetry gives back a retry that was taken and not sent. Sent much later, it would not
// count in the window of its sending.
func (s *stream) returnRetry() {
	if s.retryReserved || s.retryUnused {
		s.retryReserved, s.retryUnused = false, false
		s.relay.cfg.RetryBudget.Return(s.service.Name, s.retryTakenAt, time.Now())
	}
}
