// Package registry holds the backend servers that are known, with what this
// router knows of their work.
package registry

import (
	"sort"
	"sync"
	"sync/atomic"

	"wisteriafield/internal/backend/server"
)

// Entry is a known server.
type Entry struct {
	server.Server
	Load *Load
}

// Registry is the set of known servers. Readers never wait.
type Registry struct {
	mu   sync.Mutex
	view atomic.Pointer[view]
}

type view struct {
	revision  int64
	services  map[string][]*Entry
	ids       map[string]*Entry
	addresses map[string]*Entry
}

// New returns an empty registry.
func New() *Registry {
	r := &Registry{}
	r.view.Store(&view{})
	return r
}

// Set replaces the known servers by those of a revision of the store. Incarnations
// that stay keep their load.
func (r *Registry) Set(revision int64, servers []server.Server) {
	r.mu.Lock()
	defer r.mu.Unlock()
	old := r.view.Load()
	next := &view{
		revision:  revision,
		services:  make(map[string][]*Entry),
		ids:       make(map[string]*Entry, len(servers)),
		addresses: make(map[string]*Entry, len(servers)),
	}
	for _, s := range servers {
		e := &Entry{Server: s}
		if known := old.ids[s.ID]; known != nil && known.Key() == s.Key() {
			e.Load = known.Load
		} else {
			e.Load = &Load{}
			if before := old.addresses[s.Address]; before != nil && before.Service == s.Service {
				e.Load.inherit(before.Load)
			}
		}
		if other := next.addresses[s.Address]; other == nil || s.Started > other.Started {
			next.addresses[s.Address] = e
		}
		next.ids[s.ID] = e
		next.services[s.Service] = append(next.services[s.Service], e)
	}
	for _, list := range next.services {
		sort.Slice(list, func(i, j int) bool { return list[i].ID < list[j].ID })
	}
	r.view.Store(next)
}

// Revision returns the store's revision that the known servers are of.
func (r *Registry) Revision() int64 { return r.view.Load().revision }

// Service returns the servers of a service, by id. The result is not changed.
func (r *Registry) Service(name string) []*Entry { return r.view.Load().services[name] }

// Get returns a server, or nil.
func (r *Registry) Get(id string) *Entry { return r.view.Load().ids[id] }

// ChangeCount returns a number that differs when this router's own work anywhere
// does.
func (r *Registry) ChangeCount() uint64 {
	sum := uint64(0)
	for _, e := range r.view.Load().ids {
		sum += e.Load.changes.Load()
	}
	return sum
}

// ByAddress returns the server at an address, or nil.
func (r *Registry) ByAddress(address string) *Entry { return r.view.Load().addresses[address] }

// All returns all known servers. The result is not changed.
func (r *Registry) All() map[string]*Entry { return r.view.Load().ids }
