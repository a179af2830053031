package engine

import (
	"encoding/json"
	"net/http"
	"strconv"
	"strings"
)

// prefixWords is the number of leading prompt words that identify a prefix.
const prefixWords = 32

// One cache event in skippedEventInterval is not published, so that readers of the
// events see gaps in the sequence numbers.
const skippedEventInterval = 7

// cacheEvent reports that a prefix was stored in the cache or evicted from it.
type cacheEvent struct {
	Sequence int
	Prefix   string
	Stored   bool
}

// cache is an LRU cache of prompt prefixes that publishes its changes as events.
type cache struct {
	capacity int          // maximum number of prefixes; 0 caches none
	prefixes []string     // least recently used first
	events   []cacheEvent // the newest ones
	sequence int          // of the last event
}

func newCache(capacity int) *cache { return &cache{capacity: capacity} }

func prefixOf(prompt []string) string {
	return strings.Join(prompt[:min(len(prompt), prefixWords)], " ")
}

// touch reports whether the prefix was cached, and makes it the most recently used one.
func (c *cache) touch(prefix string) bool {
	for i, p := range c.prefixes {
		if p == prefix {
			c.prefixes = append(append(c.prefixes[:i:i], c.prefixes[i+1:]...), prefix)
			return true
		}
	}
	if c.capacity <= 0 {
		return false
	}
	c.prefixes = append(c.prefixes, prefix)
	c.publish(prefix, true)
	if len(c.prefixes) > c.capacity {
		c.publish(c.prefixes[0], false)
		c.prefixes = c.prefixes[1:]
	}
	return false
}

func (c *cache) publish(prefix string, stored bool) {
	c.sequence++
	if c.sequence%skippedEventInterval == 0 {
		return
	}
	c.events = append(c.events, cacheEvent{Sequence: c.sequence, Prefix: shortHash(prefix), Stored: stored})
	if len(c.events) > 1024 {
		c.events = c.events[1:]
	}
}

func (e *Engine) handleCacheEvents(w http.ResponseWriter, r *http.Request) {
	after, _ := strconv.Atoi(r.URL.Query().Get("after"))
	events := []cacheEvent{}
	e.mu.Lock()
	for _, event := range e.cache.events {
		if event.Sequence > after {
			events = append(events, event)
		}
	}
	e.mu.Unlock()
	_ = json.NewEncoder(w).Encode(events)
}
