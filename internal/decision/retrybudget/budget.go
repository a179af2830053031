// Package repeats bounds how many requests are sent to a second server. It
// answers trouble that makes every request fail: without a bound, repeats would
// multiply the load just then.
package retrybudget

import (
	"sync"
	"time"
)

const (
	// parts is how many parts a window is counted in, and kept how many are kept:
	// two windows.
	parts = 10
	kept  = 2 * parts
	// heardWeight is the share of the newest peer in what is believed of the mean
	// router: seven a second are heard of.
	heardWeight = 0.15
	// ownWeight is the share of this router in what it believes of the mean one when
	// it wants more than its part: what it sees now, peers tell a second later.
	ownWeight = 0.15
	// spareBelow is the share of its budget up to which the mean router leaves
	// something to others, and spareFactor how much of a budget one router may use
	// then: losses hit routers unevenly, two or three at one and none at most.
	spareBelow  = 0.5
	spareFactor = 2.5
	// startTime is how long after its start a router may not know its peers yet,
	// and startRouters how many it assumes until then.
	startTime    = 3 * time.Second
	startRouters = 64
)

// Config bounds the repeats of one router.
type Config struct {
	Ratio  float64 // repeats for each first send
	Slack  float64 // repeats beyond the ratio that all routers share, in a window
	Window time.Duration
	// Routers returns how many share the slack, as far as this one knows.
	Routers func() int
}

// Counts are the sends of one router in a window.
type Counts struct {
	FirstAttempts float64 `json:"Firsts"`
	Retries       float64 `json:"Repeats"`
}

// Budget counts the sends of each service over a sliding window.
type Budget struct {
	cfg     Config
	started time.Time

	mu       sync.Mutex
	services map[string]*window
}

type window struct {
	mean    Counts // of the peers, as they tell
	firsts  [kept]int
	repeats [kept]int
	at      int64 // number of the newest part
}

// sum adds up the parts of the window that ended some parts ago.
func (w *window) sum(counts *[kept]int, ago int64) int {
	sum := 0
	for i := range int64(parts) {
		sum += counts[(w.at-ago-i+kept)%kept]
	}
	return sum
}

// New returns a budget with nothing used.
func New(cfg Config, now time.Time) *Budget {
	return &Budget{cfg: cfg, started: now, services: make(map[string]*window)}
}

// First counts a request's first send.
func (b *Budget) RecordFirstAttempt(service string, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	w := b.window(service, now)
	w.firsts[w.at%kept]++
}

// Allow takes one repeat from the budget, if there is one. What arrives at a
// server that rejects it counts too. The first sends are those of the window, of
// the one before it or of the one half a window before, whichever has most.
func (b *Budget) Allow(service string, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	w := b.window(service, now)
	own := w.counts()
	slack := b.slack(now)
	allowed := b.cfg.Ratio*own.FirstAttempts + slack
	if meanAllowed := b.cfg.Ratio*w.mean.FirstAttempts + slack; w.mean.FirstAttempts > 0 && w.mean.Retries+ownWeight*(own.Retries-w.mean.Retries) < spareBelow*meanAllowed {
		allowed = max(allowed, spareFactor*meanAllowed)
	}
	if own.Retries >= allowed {
		return false
	}
	w.repeats[w.at%kept]++
	return true
}

// Own returns this router's counts by service, to tell peers.
func (b *Budget) OwnCounts(now time.Time) map[string]Counts {
	b.mu.Lock()
	defer b.mu.Unlock()
	own := make(map[string]Counts, len(b.services))
	for service := range b.services {
		own[service] = b.window(service, now).counts()
	}
	return own
}

// Heard takes a peer's counts.
func (b *Budget) MergePeerCounts(counts map[string]Counts, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for service, c := range counts {
		w := b.window(service, now)
		w.mean.FirstAttempts += heardWeight * (c.FirstAttempts - w.mean.FirstAttempts)
		w.mean.Retries += heardWeight * (c.Retries - w.mean.Retries)
	}
}

// counts returns the repeats of the window and the first sends that they are
// measured by.
func (w *window) counts() Counts {
	firsts := max(w.sum(&w.firsts, 0), w.sum(&w.firsts, parts/2), w.sum(&w.firsts, parts))
	return Counts{FirstAttempts: float64(firsts), Retries: float64(w.sum(&w.repeats, 0))}
}

// slack is this router's part of what all share.
func (b *Budget) slack(now time.Time) float64 {
	routers := max(b.cfg.Routers(), 1)
	if now.Sub(b.started) < startTime {
		routers = max(routers, startRouters)
	}
	return b.cfg.Slack / float64(routers)
}

// window returns a service's counts, moved on to now. The caller holds mu.
func (b *Budget) window(service string, now time.Time) *window {
	at := now.UnixNano() / int64(b.cfg.Window/parts)
	w := b.services[service]
	if w == nil {
		w = &window{at: at}
		b.services[service] = w
	}
	for ; w.at < at; w.at++ {
		if at-w.at > kept {
			w.at = at - kept
		}
		next := (w.at + 1) % kept
		w.firsts[next], w.repeats[next] = 0, 0
	}
	return w
}
