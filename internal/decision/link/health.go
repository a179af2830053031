// Package link judges the network between this router and a failure domain by
// how events arrive. A lost packet holds a connection up and the events behind it
// arrive at once, while an engine that pauses goes on one event at a time.
package link

import (
	"math"
	"sync"
	"time"
)

const (
	// stallGap is the shortest pause that a retransmission makes, and burstGap the
	// longest time between events that arrived behind it.
	stallGap = 150 * time.Millisecond
	burstGap = 4 * time.Millisecond
	// halfLife is how long an observation counts half; disturbances last seconds.
	halfLife = 8 * time.Second
	// prior is the number of events without a stall that a domain begins with, so
	// that one stall does not condemn it.
	prior = 300
)

// Health is what is known of the links to the failure domains.
type Health struct {
	mu      sync.Mutex
	domains map[string]*counts
}

type counts struct {
	events, stalls float64
	at             time.Time
}

// New returns a health without observations.
func New() *Health { return &Health{domains: make(map[string]*counts)} }

// StallRate returns the share of events that a domain's links held up, 0 to 1.
func (h *Health) StallRate(domain string, now time.Time) float64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	c := h.domains[domain]
	if c == nil {
		return 0
	}
	c.age(now)
	return c.stalls / (c.events + prior)
}

func (h *Health) observe(domain string, stalled bool, now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	c := h.domains[domain]
	if c == nil {
		c = &counts{at: now}
		h.domains[domain] = c
	}
	c.age(now)
	c.events++
	if stalled {
		c.stalls++
	}
}

func (c *counts) age(now time.Time) {
	if passed := now.Sub(c.at); passed > 0 {
		left := math.Exp2(-float64(passed) / float64(halfLife))
		c.events *= left
		c.stalls *= left
		c.at = now
	}
}

// StreamObserver watches the events of one stream. It is not safe for concurrent use.
type StreamObserver struct {
	health *Health
	domain string
	last   time.Time
	paused bool // the last event came after a pause
}

// ObserveStream follows a stream from a domain.
func (h *Health) ObserveStream(domain string) *StreamObserver {
	return &StreamObserver{health: h, domain: domain}
}

// ObserveEvent notes an event.
func (s *StreamObserver) ObserveEvent(now time.Time) {
	if s.last.IsZero() {
		s.last = now
		return
	}
	gap := now.Sub(s.last)
	s.health.observe(s.domain, s.paused && gap <= burstGap, now)
	s.paused = gap >= stallGap
	s.last = now
}
