// Package members says which routers are up and which of them keeps a backend
// server. It takes the platform's lagging list and leaves out the peers that
// this router found dead or silent.
package members

import (
	"sort"
	"sync"
	"sync/atomic"
	"time"

	"wisteriafield/internal/decision/placement"
	"wisteriafield/internal/platform/hosts"
)

// cacheFor bounds how old the cached placement may be, since suspicions end by
// time.
const cacheFor = 100 * time.Millisecond

// Members is this router's view of its peers.
type Members struct {
	Suspects *placement.Suspects

	self     hosts.Host
	list     *hosts.List
	stopping atomic.Bool
	cache    atomic.Pointer[placementCache]
}

type placementCache struct {
	source  *map[string]hosts.Host
	expires time.Time
	live    []hosts.Host
	names   map[string][]string // region to router names; "" for all
	keepers sync.Map            // server to router
}

// New returns the view of one router.
func New(self hosts.Host, list *hosts.List) *Members {
	return &Members{Suspects: placement.NewSuspects(), self: self, list: list}
}

// Self returns this router.
func (m *Members) Self() hosts.Host { return m.self }

// Stop takes this router out of its own view.
func (m *Members) Stop() {
	m.stopping.Store(true)
	m.cache.Store(nil)
}

// Stopping reports whether Stop was called.
func (m *Members) Stopping() bool { return m.stopping.Load() }

// RecordFailure records that a peer did not answer.
func (m *Members) RecordFailure(name string, now time.Time) {
	m.Suspects.RecordFailure(name, now)
	m.cache.Store(nil)
}

// Live returns the routers that are up, this one included, by name.
func (m *Members) Live(now time.Time) []hosts.Host { return m.current(now).live }

// Names returns the names of the live routers.
func (m *Members) Names(now time.Time) []string { return m.current(now).names[""] }

// Host returns a router by name, even a suspected one.
func (m *Members) Host(name string) (hosts.Host, bool) {
	if name == m.self.Name {
		return m.self, true
	}
	return m.list.Host(name)
}

// Keeper returns the router that keeps a server of a region.
func (m *Members) Keeper(server, region string, now time.Time) string {
	c := m.current(now)
	if keeper, ok := c.keepers.Load(server); ok {
		return keeper.(string)
	}
	names := c.names[region]
	if len(names) == 0 {
		names = c.names[""]
	}
	keeper := placement.Owner(server, names)
	c.keepers.Store(server, keeper)
	return keeper
}

// Owner returns the router that is responsible for a key of another kind.
func (m *Members) Owner(key string, now time.Time) string {
	return placement.Owner(key, m.current(now).names[""])
}

func (m *Members) current(now time.Time) *placementCache {
	source := m.list.Snapshot()
	if c := m.cache.Load(); c != nil && c.source == source && now.Before(c.expires) {
		return c
	}
	c := m.build(source, now)
	m.cache.Store(c)
	return c
}

func (m *Members) build(source *map[string]hosts.Host, now time.Time) *placementCache {
	c := &placementCache{source: source, expires: now.Add(cacheFor), names: make(map[string][]string)}
	for _, h := range *source {
		if h.Kind != hosts.Router || h.State != hosts.Live || h.Environment != m.self.Environment {
			continue
		}
		if h.Name == m.self.Name || m.Suspects.Suspected(h.Name, now) {
			continue
		}
		c.live = append(c.live, h)
	}
	if !m.stopping.Load() {
		c.live = append(c.live, m.self)
	}
	sort.Slice(c.live, func(i, j int) bool { return c.live[i].Name < c.live[j].Name })
	for _, h := range c.live {
		c.names[""] = append(c.names[""], h.Name)
		c.names[h.Region] = append(c.names[h.Region], h.Name)
	}
	return c
}
