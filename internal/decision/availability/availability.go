// Package availability records what backend servers say in their answers of their own
// availability: that they leave, or that they want nothing from this router until a time. The
// store may list a leaving server as ready for some time yet, and for as long as it is
// unreachable.
package availability

import (
	"maps"
	"sync"
	"sync/atomic"
	"time"
)

// maxServers bounds the servers whose availability is kept.
const maxServers = 1024

// maxPause bounds how long one answer keeps requests away from a server.
const maxPause = 5 * time.Minute

// Table is what one router was told. A server is named by its incarnation, so that nothing
// is known of one that has restarted. Reading it never blocks.
type Table struct {
	mu      sync.Mutex // held by writers
	servers atomic.Pointer[map[string]state]
}

// state is what a server said last.
type state struct {
	leaving     bool
	pausedUntil time.Time
	toldAt      time.Time
}

// New returns an empty table.
func New() *Table {
	t := &Table{}
	t.servers.Store(&map[string]state{})
	return t
}

// Empty reports whether nothing is known of any server.
func (t *Table) Empty() bool { return len(*t.servers.Load()) == 0 }

// Leaving reports whether a server has said that it leaves. No server takes that back.
func (t *Table) Leaving(server string) bool { return (*t.servers.Load())[server].leaving }

// ObserveLeaving records that a server leaves, and reports whether that is news.
func (t *Table) ObserveLeaving(server string, now time.Time) (changed bool) {
	if t.Leaving(server) {
		return false // without the lock: each further answer of the server says so
	}
	return t.update(server, now, func(s *state) { s.leaving = true })
}

// ObservePause records that a server wants nothing from this router until a time, and
// reports whether that is later than it said before.
func (t *Table) ObservePause(server string, until, now time.Time) (changed bool) {
	if latest := now.Add(maxPause); until.After(latest) {
		until = latest
	}
	if !until.After(now) {
		return false
	}
	return t.update(server, now, func(s *state) {
		if until.After(s.pausedUntil) {
			s.pausedUntil = until
		}
	})
}

// NextAt returns when a server accepts this router's next request: now if it does at once,
// and the zero time if it leaves.
func (t *Table) NextAt(server string, now time.Time) time.Time {
	s := (*t.servers.Load())[server]
	switch {
	case s.leaving:
		return time.Time{}
	case s.pausedUntil.After(now):
		return s.pausedUntil
	default:
		return now
	}
}

// update changes the state of a server and reports whether that made a difference.
func (t *Table) update(server string, now time.Time, change func(s *state)) (changed bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	old := *t.servers.Load()
	s := old[server]
	change(&s)
	if s == old[server] {
		return false
	}
	s.toldAt = now
	next := maps.Clone(old)
	if _, ok := next[server]; !ok && len(next) >= maxServers {
		removeOldest(next)
	}
	next[server] = s
	t.servers.Store(&next)
	return true
}

// removeOldest removes the server that was heard of longest ago.
func removeOldest(servers map[string]state) {
	var oldest string
	for name, s := range servers {
		if oldest == "" || s.toldAt.Before(servers[oldest].toldAt) {
			oldest = name
		}
	}
	delete(servers, oldest)
}
