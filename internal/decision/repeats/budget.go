// Package repeats bounds how many requests are sent to a second server. It
// answers trouble that makes every request fail: without a bound, repeats would
// multiply the load just then.
package repeats

import (
	"sync"
	"time"
)

// slots is how many parts a window is counted in.
const slots = 10

// Config bounds the repeats of one router.
type Config struct {
	Ratio  float64 // repeats for each first send
	Slack  float64 // repeats beyond the ratio, in a window
	Window time.Duration
}

// Budget counts the sends of each service over a sliding window.
type Budget struct {
	cfg Config

	mu       sync.Mutex
	services map[string]*window
}

type window struct {
	firsts  [slots]int
	repeats [slots]int
	at      int64 // number of the newest slot
}

// New returns a budget with nothing used.
func New(cfg Config) *Budget {
	return &Budget{cfg: cfg, services: make(map[string]*window)}
}

// First counts a request's first send.
func (b *Budget) First(service string, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	w := b.window(service, now)
	w.firsts[w.at%slots]++
}

// Allow takes one repeat from the budget, if there is one.
func (b *Budget) Allow(service string, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	w := b.window(service, now)
	firsts, repeats := 0, 0
	for i := range slots {
		firsts += w.firsts[i]
		repeats += w.repeats[i]
	}
	if float64(repeats) >= b.cfg.Ratio*float64(firsts)+b.cfg.Slack {
		return false
	}
	w.repeats[w.at%slots]++
	return true
}

// window returns a service's counts, moved on to now. The caller holds mu.
func (b *Budget) window(service string, now time.Time) *window {
	at := now.UnixNano() / int64(b.cfg.Window/slots)
	w := b.services[service]
	if w == nil {
		w = &window{at: at}
		b.services[service] = w
	}
	for ; w.at < at; w.at++ {
		if at-w.at > slots {
			w.at = at - slots
		}
		next := (w.at + 1) % slots
		w.firsts[next], w.repeats[next] = 0, 0
	}
	return w
}
