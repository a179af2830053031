// Package registry holds the known backend servers and what this router knows of their
// load.
package registry

import (
	"sort"
	"sync"
	"sync/atomic"
	"time"

	"wisteriafield/internal/backend/server"
	"wisteriafield/internal/decision/storehistory"
)

// Entry is a known server and its load.
type Entry struct {
	server.Server
	Load *Load
}

// Registry is the set of known servers. Reading it never blocks.
type Registry struct {
	mu       sync.Mutex
	snapshot atomic.Pointer[snapshot]
}

type snapshot struct {
	position  storehistory.Position
	byService map[string][]*Entry
	byID      map[string]*Entry
	byAddress map[string]*Entry
}

// New returns an empty registry.
func New() *Registry {
	r := &Registry{}
	r.snapshot.Store(&snapshot{})
	return r
}

// Set replaces the known servers by the list of the given position of the store. A server that
// has not restarted keeps its load; one that has restarted at its address inherits what
// stays valid of it.
func (r *Registry) Set(at storehistory.Position, servers []server.Server) {
	r.mu.Lock()
	defer r.mu.Unlock()
	old := r.snapshot.Load()
	next := &snapshot{
		position:  at,
		byService: make(map[string][]*Entry),
		byID:      make(map[string]*Entry, len(servers)),
		byAddress: make(map[string]*Entry, len(servers)),
	}
	for _, s := range servers {
		e := &Entry{Server: s}
		if known := old.byID[s.ID]; known != nil && known.Key() == s.Key() {
			e.Load = known.Load
			// A restored store may list a draining server as ready until the server writes again.
			e.Leaving = e.Leaving || known.Leaving && s.Started != 0
		} else {
			e.Load = &Load{}
			if previous := old.byAddress[s.Address]; previous != nil && previous.Service == s.Service {
				e.Load.inherit(previous.Load)
			}
		}
		if other := next.byAddress[s.Address]; other == nil || s.Started > other.Started {
			next.byAddress[s.Address] = e
		}
		next.byID[s.ID] = e
		next.byService[s.Service] = append(next.byService[s.Service], e)
	}
	for _, list := range next.byService {
		sort.Slice(list, func(i, j int) bool { return list[i].ID < list[j].ID })
	}
	r.snapshot.Store(next)
}

// Position returns the store's position of the known servers.
func (r *Registry) Position() storehistory.Position { return r.snapshot.Load().position }

// Service returns the servers of a service, sorted by ID. The caller must not modify
// the result.
func (r *Registry) Service(name string) []*Entry { return r.snapshot.Load().byService[name] }

// Usable returns the incarnations of a service's servers that are neither leaving nor down.
func (r *Registry) Usable(service string, now time.Time) []string {
	var usable []string
	for _, e := range r.Service(service) {
		if !e.Leaving && !e.Load.State(now).Down {
			usable = append(usable, e.Key().String())
		}
	}
	return usable
}

// Get returns the server with an ID, or nil.
func (r *Registry) Get(id string) *Entry { return r.snapshot.Load().byID[id] }

// Leaves reports whether an incarnation of a server is leaving or has been removed from the
// list. One that another incarnation has replaced does not count.
func (r *Registry) Leaves(s *server.Server) bool {
	listed := r.Get(s.ID)
	return listed == nil || listed.Key() == s.Key() && listed.Leaving
}

// Removed reports whether a server is not in the list any more.
func (r *Registry) Removed(s *server.Server) bool { return r.Get(s.ID) == nil }

// Replaced reports whether another incarnation has the address of a server. A restored store
// may list an older one.
func (r *Registry) Replaced(s *server.Server) bool {
	current := r.ByAddress(s.Address)
	return current != nil && current.Key() != s.Key() && current.Started >= s.Started
}

// Health returns when an incarnation of a server last answered this router, and whether any router has
// found it down. One that is not listed counts as down.
func (r *Registry) Health(s *server.Server, now time.Time) (answeredAt time.Time, down bool) {
	e := r.Get(s.ID)
	if e == nil || e.Key() != s.Key() {
		return time.Time{}, true
	}
	e.Load.mu.Lock()
	defer e.Load.mu.Unlock()
	return e.Load.answeredAt, now.Before(e.Load.downUntil)
}

// ChangeCount returns a number that changes when this router's share of the load of any
// server changes.
func (r *Registry) ChangeCount() uint64 {
	sum := uint64(0)
	for _, e := range r.snapshot.Load().byID {
		sum += e.Load.changes.Load()
	}
	return sum
}

// ByAddress returns the server at an address, or nil. Of several it returns the one that
// started last.
func (r *Registry) ByAddress(address string) *Entry { return r.snapshot.Load().byAddress[address] }

// All returns all known servers by ID. The caller must not modify the result.
func (r *Registry) All() map[string]*Entry { return r.snapshot.Load().byID }
