package engine

import (
	"encoding/json"
	"net/http"
	"strconv"
	"strings"
)

// prefixWords is how many words of a prompt name its prefix.
const prefixWords = 32

// gapEvery leaves out one cache event in so many.
const gapEvery = 7

// cacheEvent tells that a prefix came into the cache or left it.
type cacheEvent struct {
	Sequence int
	Prefix   string
	Stored   bool
}

type cache struct {
	size   int
	order  []string
	events []cacheEvent
	n      int
}

func newCache(size int) *cache { return &cache{size: size} }

func prefixOf(prompt []string) string {
	return strings.Join(prompt[:min(len(prompt), prefixWords)], " ")
}

// touch reports whether the prefix was cached, and caches it.
func (c *cache) touch(prefix string) bool {
	for i, p := range c.order {
		if p == prefix {
			c.order = append(append(c.order[:i:i], c.order[i+1:]...), prefix)
			return true
		}
	}
	if c.size <= 0 {
		return false
	}
	c.order = append(c.order, prefix)
	c.publish(prefix, true)
	if len(c.order) > c.size {
		c.publish(c.order[0], false)
		c.order = c.order[1:]
	}
	return false
}

func (c *cache) publish(prefix string, stored bool) {
	c.n++
	if c.n%gapEvery == 0 {
		return
	}
	c.events = append(c.events, cacheEvent{Sequence: c.n, Prefix: short(prefix), Stored: stored})
	if len(c.events) > 1024 {
		c.events = c.events[1:]
	}
}

func (e *Engine) cacheEvents(w http.ResponseWriter, r *http.Request) {
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
