package relay

import (
	"context"
	"time"
)

const (
	// retryBudgetInterval is the time between two questions for a retry.
	retryBudgetInterval = 100 * time.Millisecond
	// maxRetryBudgetWait bounds the wait of a stream that has begun for a retry that can't be
	// foreseen. It is below the shortest gap after which callers leave a stream, so that those
	// who can reconnect are told in time.
	maxRetryBudgetWait = 1800 * time.Millisecond
	// patienceMargin is how long before its caller leaves a stream is given up.
	patienceMargin = 200 * time.Millisecond
	// loanWait is how long a stream waits for a loan if no retry can be foreseen. Peers are asked
	// for 80 ms.
	loanWait = 100 * time.Millisecond
	// spareRetries is how many retries more than streams wait are borrowed: engines are often lost
	// in groups, and more streams follow within their loan.
	spareRetries = 2
)

// awaitRetry reserves a retry for the next attempt. It waits for the budget to have one, behind
// the streams that have waited for longer. It returns false if none is expected before the
// caller leaves, or if the stream can return to a silent engine.
func (s *stream) awaitRetry(ctx context.Context) bool {
	defer s.relay.retryQueue.leave(s)
	start := time.Now()
	for !s.reserveRetry() {
		released := s.relay.retryQueue.join(s)
		now := time.Now()
		next := s.relay.cfg.RetryBudget.NextAt(s.service.Name, now)
		if !s.denialLogged {
			s.denialLogged = true
			log := s.relay.cfg.Log.WithField("id", s.req.ID).WithField("sends", s.delivered).WithField("begun", s.headersSent).
				WithField("waitsMs", time.Until(s.callerWaitsUntil()).Milliseconds())
			if !next.IsZero() {
				log = log.WithField("nextMs", time.Until(next).Milliseconds())
			}
			log.Info("retry budget exhausted")
		}
		if s.executed == 0 && !s.headersSent && s.req.LastEventID == 0 {
			return false // it is refused, and its caller may go to another router at once
		}
		expected := !next.IsZero() && next.Before(s.callerWaitsUntil()) || s.relay.cfg.Borrow != nil && now.Sub(start) < loanWait
		if s.silent != nil || !expected && (!s.headersSent || now.Sub(start) >= maxRetryBudgetWait) {
			return false
		}
		if !s.headersSent && !s.engineUsable(s.excluded) && !s.engineReturns(start) {
			return false
		}
		borrowed := s.borrowRetries()
		if borrowed != nil && s.reserveRetry() {
			break // a loan arrived just before
		}
		if !waitForRetry(ctx, released, borrowed) {
			return false
		}
	}
	return true
}

// waitForRetry waits until it is time to ask for a retry again: after a while, when the stream
// becomes the first of those that wait, or when peers have lent some. It returns false if ctx has
// ended.
func waitForRetry(ctx context.Context, first, borrowed <-chan struct{}) bool {
	timer := time.NewTimer(retryBudgetInterval)
	defer timer.Stop()
	select {
	case <-first:
	case <-borrowed:
	case <-timer.C:
	case <-ctx.Done():
	}
	return ctx.Err() == nil
}

// borrowRetries has peers asked for as many retries as streams wait, if this is the first one. The
// channel is closed when some may have arrived.
func (s *stream) borrowRetries() <-chan struct{} {
	if s.relay.cfg.Borrow == nil || !s.relay.retryQueue.mayTake(s) {
		return nil
	}
	return s.relay.cfg.Borrow(s.service.Name, s.relay.retryQueue.length(s.service.Name)+spareRetries)
}

// callerWaitsUntil returns how long the caller waits for the next event before it leaves.
func (s *stream) callerWaitsUntil() time.Time {
	since := s.req.ArrivedAt
	if s.lastEventAt.After(since) {
		since = s.lastEventAt
	}
	until := since.Add(s.req.Route.StreamPatience() - patienceMargin)
	if s.req.Deadline.Before(until) {
		return s.req.Deadline
	}
	return until
}

// reserveRetry takes a retry for the next attempt from the budget, unless one is reserved or was
// not sent, and reports whether there is one. An attempt that is to replace one at a silent
// engine needs it beforehand: the caller's stream depends on it.
func (s *stream) reserveRetry() bool {
	if s.retryReserved || s.retryUnused {
		s.retryReserved = true
		return true
	}
	now := time.Now()
	s.retryReserved = s.relay.retryQueue.mayTake(s) && s.relay.cfg.RetryBudget.Allow(s.service.Name, now)
	if s.retryReserved {
		s.retryTakenAt = now
	}
	return s.retryReserved
}

// returnRetry gives back a retry that was taken and not sent. Sent much later, it would not
// count in the window of its sending.
func (s *stream) returnRetry() {
	if s.retryReserved || s.retryUnused {
		s.retryReserved, s.retryUnused = false, false
		s.relay.cfg.RetryBudget.Return(s.service.Name, s.retryTakenAt, time.Now())
	}
}
