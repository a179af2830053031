package relay

import (
	"context"
	"time"

	"wisteriafield/internal/base/loop"
)

// maxRefusals bounds the consecutive engines that refuse a stream for lack of capacity.
const maxRefusals = 3

// serve runs attempts until one completes the stream or no other is allowed.
func (s *stream) serve(ctx context.Context) {
	defer s.releaseBackup()
	defer s.endSilent()
	defer s.returnRetry()
	var a *attempt
	for {
		if a == nil {
			a = s.nextAttempt(ctx)
		}
		if a == nil {
			return
		}
		result := s.follow(a)
		if result.answer != nil {
			defer result.answer.body.Release()
		}
		if result.outcome != refused && result.outcome != notSent {
			s.endSilent()
		}
		if result.goesOn {
			s.silent, a.events = a, result.events
		}
		if result.outcome == notSent {
			s.retryUnused = s.delivered > 0
		} else {
			s.delivered++
		}
		s.recordResult(a.target, a.restoreFrom, result)
		a = nil
		switch {
		case result.outcome == finished:
			servedTotal.Inc()
			s.relay.cfg.Log.WithField("id", s.req.ID).WithField("events", s.lastEventID).WithField("attempts", s.executed+1).
				WithField("firstMs", s.firstEventDelay.Milliseconds()).WithField("longestMs", s.longestGap.Milliseconds()).Info("stream served")
			return
		case ctx.Err() != nil:
			s.abandon(ctx, contextEndReason(ctx))
			return
		case result.outcome == answered:
			s.forwardError(result.answer)
			return
		}
		obstacle := s.retryObstacle(result)
		if obstacle == "" {
			continue
		}
		if a = s.resumeSilent(); a == nil {
			s.abandon(ctx, obstacle)
			return
		}
	}
}

// nextAttempt begins another attempt. If none is allowed, it returns to the silent engine
// that was left last, or else answers the caller and returns nil.
func (s *stream) nextAttempt(ctx context.Context) *attempt {
	start := time.Now()
	for {
		if s.executed > 0 {
			if _, quarantined := s.relay.cfg.Quarantine.Refuses(s.req); quarantined && s.silent != nil {
				return s.resumeSilent()
			}
			if s.refusedByQuarantine(ctx) {
				return nil
			}
		}
		if s.delivered > 0 && !s.retryReserved {
			if s.awaitRetry(ctx) {
				continue // it may have been blocked meanwhile
			}
			if a := s.resumeSilent(); a != nil {
				return a
			}
			if ctx.Err() == nil && s.headersSent && s.leftEngine != nil && s.relay.answersProbes(ctx, s.leftEngine) {
				continue // no engine has broken off: the stream is not cut before its time is up
			}
			s.abandon(ctx, retryBudgetExhausted)
			return nil
		}
		target, restoreFrom := s.nextTarget(ctx)
		if target == nil {
			if a := s.resumeSilent(); a != nil {
				return a
			}
			if !s.headersSent && !s.engineReturns(start) {
				if s.executed > 0 {
					s.recordAbandoned(ctx, noEngine)
				}
				s.refuse("no engine")
				return nil
			}
			s.returnRetry()
			if !loop.Sleep(ctx, midstreamRetryDelay) {
				s.abandon(ctx, contextEndReason(ctx))
				return nil
			}
			s.readmitEngines()
			continue
		}
		s.retryReserved, s.retryUnused, s.denialLogged = false, false, false
		return s.begin(ctx, target, restoreFrom)
	}
}
