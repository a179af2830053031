package entry

import (
	"sync"
	"time"
)

// WaitTable holds the expected waits that keepers reported in replies and in
// gossip.
type WaitTable struct {
	mu      sync.Mutex
	entries map[waitKey]waitEntry
}

type waitKey struct{ keeper, modelKey string }

type waitEntry struct {
	wait   time.Duration
	seenAt time.Time
}

// NewWaitTable returns an empty table.
func NewWaitTable() *WaitTable { return &WaitTable{entries: make(map[waitKey]waitEntry)} }

// Record records a keeper's expected wait for a model key that its servers carry.
func (t *WaitTable) Record(keeper, modelKey string, wait time.Duration, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.entries[waitKey{keeper, modelKey}] = waitEntry{wait, now}
}

// Get returns the last reported wait and when it was reported, or a zero time if
// there was none.
func (t *WaitTable) Get(keeper, modelKey string) (time.Duration, time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	entry := t.entries[waitKey{keeper, modelKey}]
	return entry.wait, entry.seenAt
}

// BestKeeper returns the keeper, other than except, with the shortest wait that was
// reported in the last 3 s, or "".
func (t *WaitTable) BestKeeper(modelKey, except string, now time.Time) string {
	t.mu.Lock()
	defer t.mu.Unlock()
	best := ""
	var bestWait time.Duration
	for key, entry := range t.entries {
		if key.modelKey != modelKey || key.keeper == except || now.Sub(entry.seenAt) > 3*time.Second {
			continue
		}
		if best == "" || entry.wait < bestWait {
			best, bestWait = key.keeper, entry.wait
		}
	}
	return best
}

// Sweep deletes waits that were reported more than a minute ago.
func (t *WaitTable) Sweep(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for key, entry := range t.entries {
		if now.Sub(entry.seenAt) > time.Minute {
			delete(t.entries, key)
		}
	}
}
