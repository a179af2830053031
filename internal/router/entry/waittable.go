package entry

import (
	"sync"
	"time"
)

// WaitTable remembers what the keepers said of their expected waits, in replies and
// in gossip.
type WaitTable struct {
	mu  sync.Mutex
	all map[costKey]cost
}

type costKey struct{ keeper, needs string }

type cost struct {
	wait   time.Duration
	seenAt time.Time
}

// NewWaitTable returns an empty table.
func NewWaitTable() *WaitTable { return &WaitTable{all: make(map[costKey]cost)} }

// Record records a keeper's wait for something its servers carry.
func (c *WaitTable) Record(keeper, needs string, wait time.Duration, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.all[costKey{keeper, needs}] = cost{wait, now}
}

// Get returns what was last learnt, with a zero time if nothing was.
func (c *WaitTable) Get(keeper, needs string) (time.Duration, time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	v := c.all[costKey{keeper, needs}]
	return v.wait, v.seenAt
}

// BestKeeper returns the keeper with the shortest fresh wait, or "".
func (c *WaitTable) BestKeeper(needs, without string, now time.Time) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	best := ""
	var least time.Duration
	for key, v := range c.all {
		if key.needs != needs || key.keeper == without || now.Sub(v.seenAt) > 3*time.Second {
			continue
		}
		if best == "" || v.wait < least {
			best, least = key.keeper, v.wait
		}
	}
	return best
}

// Sweep forgets keepers that were not heard of for long.
func (c *WaitTable) Sweep(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for key, v := range c.all {
		if now.Sub(v.seenAt) > time.Minute {
			delete(c.all, key)
		}
	}
}
