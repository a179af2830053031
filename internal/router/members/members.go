// Package members tracks which routers are live and which of them is the keeper
// of each backend server. It starts from the platform's host list, which lags,
// and leaves out the peers that this router suspects because they did not answer.
package members

import (
	"sort"
	"sync"
	"sync/atomic"
	"time"

	"wisteriafield/internal/decision/placement"
	"wisteriafield/internal/platform/hosts"
)

// cacheTTL bounds the age of the cached placement, since suspicions expire
// without an event that would clear the cache.
const cacheTTL = 100 * time.Millisecond

// Members is the membership view of one router.
type Members struct {
	Suspects *placement.Suspects

	self     hosts.Host
	list     *hosts.List
	stopping atomic.Bool
	cache    atomic.Pointer[placementCache]
}

// placementCache is the set of live routers for one snapshot of the host list.
type placementCache struct {
	source  *map[string]hosts.Host
	expires time.Time
	live    []hosts.Host
	names   map[string][]string // live routers by region; all under ""
	keepers sync.Map            // server name to router name, computed on demand
}

// New returns the membership view of the router self.
func New(self hosts.Host, list *hosts.List) *Members {
	return &Members{Suspects: placement.NewSuspects(), self: self, list: list}
}

// Self returns the host entry of this router.
func (m *Members) Self() hosts.Host { return m.self }

// Stop removes this router from its own list of live routers.
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

// Live returns the live routers, this one included unless it is stopping, sorted
// by name.
func (m *Members) Live(now time.Time) []hosts.Host { return m.current(now).live }

// Names returns the sorted names of the live routers.
func (m *Members) Names(now time.Time) []string { return m.current(now).names[""] }

// Host returns a host by name, whether or not it is suspected.
func (m *Members) Host(name string) (hosts.Host, bool) {
	if name == m.self.Name {
		return m.self, true
	}
	return m.list.Host(name)
}

// Keeper returns the router that is the keeper of a server. It is one of the
// server's region if any is live there.
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

// Owner returns the router that owns a key other than a server's name, such as an
// idempotency key or an organisation.
func (m *Members) Owner(key string, now time.Time) string {
	return placement.Owner(key, m.current(now).names[""])
}

// current returns the cached placement, rebuilt if it expired or the host list
// changed.
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
	c := &placementCache{source: source, expires: now.Add(cacheTTL), names: make(map[string][]string)}
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
