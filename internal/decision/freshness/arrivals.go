package freshness

import (
	"sync"
	"time"
)

const (
	// AliveInterval is how often a router says that it runs.
	AliveInterval = 100 * time.Millisecond
	// pauseGap is the time without such a sign from which the router counts as having stood still.
	pauseGap = 500 * time.Millisecond
	// backlogTime is how long messages that came meanwhile are still read after that.
	backlogTime = 200 * time.Millisecond
)

// Arrivals decides since when what is read now may have waited in this host. A process
// that stood still reads old messages as it goes on, and the age of what they say counts from
// when they came. Arrivals is safe for concurrent use.
type Arrivals struct {
	mu           sync.Mutex
	aliveAt      time.Time // zero before the first sign
	pausedAt     time.Time // last sign before the router stood still
	backlogUntil time.Time
}

// Alive records that the router runs now.
func (a *Arrivals) Alive(now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.pausedNow(now) {
		a.pausedAt, a.backlogUntil = a.aliveAt, now.Add(backlogTime)
	}
	a.aliveAt = now
}

// Earliest returns the earliest moment at which what is read now may have come.
func (a *Arrivals) Earliest(now time.Time) time.Time {
	a.mu.Lock()
	defer a.mu.Unlock()
	switch {
	case a.pausedNow(now):
		return a.aliveAt
	case now.Before(a.backlogUntil):
		return a.pausedAt
	default:
		return now
	}
}

// pausedNow reports whether the router stood still since its last sign. The caller holds mu.
func (a *Arrivals) pausedNow(now time.Time) bool {
	return !a.aliveAt.IsZero() && now.Sub(a.aliveAt) >= pauseGap
}
