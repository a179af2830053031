// Package link estimates the packet loss between this router and a failure domain from
// the arrival times of events. A lost packet stalls a connection, and the events behind
// it then arrive at once, while an engine that paused continues one event at a time.
package link

import (
	"math"
	"sync"
	"time"
)

const (
	// minStallGap is the shortest pause caused by a retransmission, and maxBurstGap the
	// longest time between the events that arrive after it.
	minStallGap = 150 * time.Millisecond
	maxBurstGap = 4 * time.Millisecond
	// halfLife is the time after which an observation counts half; network faults last
	// seconds.
	halfLife = 8 * time.Second
	// priorEvents is the number of events without a stall that each domain is assumed
	// to start with, so that a single stall doesn't raise its rate much.
	priorEvents = 300
)

// Health holds the stall rates of the links to the failure domains.
type Health struct {
	mu      sync.Mutex
	domains map[string]*counts
}

type counts struct {
	events, stalls float64
	updatedAt      time.Time
}

// New returns a Health without observations.
func New() *Health { return &Health{domains: make(map[string]*counts)} }

// StallRate returns the fraction of events that a domain's links delayed, 0 to 1.
func (h *Health) StallRate(domain string, now time.Time) float64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	c := h.domains[domain]
	if c == nil {
		return 0
	}
	c.decay(now)
	return c.stalls / (c.events + priorEvents)
}

func (h *Health) observe(domain string, stalled bool, now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	c := h.domains[domain]
	if c == nil {
		c = &counts{updatedAt: now}
		h.domains[domain] = c
	}
	c.decay(now)
	c.events++
	if stalled {
		c.stalls++
	}
}

func (c *counts) decay(now time.Time) {
	if elapsed := now.Sub(c.updatedAt); elapsed > 0 {
		remaining := math.Exp2(-float64(elapsed) / float64(halfLife))
		c.events *= remaining
		c.stalls *= remaining
		c.updatedAt = now
	}
}

// StreamObserver observes when the events of one stream arrive. It is not safe for
// concurrent use.
type StreamObserver struct {
	health *Health
	domain string
	lastAt time.Time
	paused bool // the last event arrived after a pause
}

// ObserveStream returns an observer for a stream from a domain.
func (h *Health) ObserveStream(domain string) *StreamObserver {
	return &StreamObserver{health: h, domain: domain}
}

// ObserveEvent records the arrival of an event.
func (s *StreamObserver) ObserveEvent(now time.Time) {
	if s.lastAt.IsZero() {
		s.lastAt = now
		return
	}
	gap := now.Sub(s.lastAt)
	s.health.observe(s.domain, s.paused && gap <= maxBurstGap, now)
	s.paused = gap >= minStallGap
	s.lastAt = now
}
