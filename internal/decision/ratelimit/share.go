package ratelimit

import "time"

// oneToken allows for rounding errors of a refill that takes exactly as long as announced.
const oneToken = 1 - 1e-6

// share is one router's part of a limit, as a token bucket.
type share struct {
	rate       float64 // requests a second; 0 if others have all of it
	burst      float64 // requests that may be saved up
	tokens     float64
	refilledAt time.Time
	computedAt time.Time // when the rate was computed
}

// holders returns among how many routers a limit is divided. Each may send one request at
// once, so in four seconds they send at most the limit and that number, which is less than
// half of the limit more and five.
func holders(perSecond float64) int { return 1 + int(2*perSecond) }

// totalBurst returns how many requests the holders of a limit may save up together, for a
// burst: half of what the limit allows in four seconds, and most of five.
func totalBurst(perSecond float64) float64 { return 2*perSecond + maxSavedRequests }

// setRate sets the rate and the burst. A new share has the initial tokens.
func (s *share) setRate(rate, burst, initial float64, now time.Time) {
	if s.refilledAt.IsZero() {
		s.tokens = initial
	}
	s.refill(now)
	s.rate, s.burst, s.computedAt = rate, burst, now
	s.tokens = min(s.tokens, s.most())
}

func (s *share) most() float64 { return max(1, s.burst, s.rate*burstTime.Seconds()) }

func (s *share) refill(now time.Time) {
	if elapsed := now.Sub(s.refilledAt).Seconds(); elapsed > 0 && !s.refilledAt.IsZero() {
		s.tokens = min(s.tokens+elapsed*s.rate, s.most())
	}
	s.refilledAt = now
}

// take takes a token, and reports whether there was one.
func (s *share) take() bool {
	if s.rate == 0 || s.tokens < oneToken {
		return false
	}
	s.tokens--
	return true
}

// nextAt returns when there is a token, or the zero time if there will be none.
func (s *share) nextAt(now time.Time) time.Time {
	if s.rate == 0 {
		return time.Time{}
	}
	if s.tokens >= oneToken {
		return now
	}
	return now.Add(max(time.Duration((1-s.tokens)/s.rate*float64(time.Second)), time.Nanosecond))
}
