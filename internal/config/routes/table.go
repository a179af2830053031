package routes

import (
	"sort"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// Table answers look-ups in one configuration. It is immutable.
type Table struct {
	Config

	hosts    map[string][]*Route // longest prefix first
	services map[string]*Service
	keys     map[string]*Organisation
}

// NewTable indexes a configuration.
func NewTable(cfg Config) *Table {
	t := &Table{
		Config:   cfg,
		hosts:    make(map[string][]*Route),
		services: make(map[string]*Service),
		keys:     make(map[string]*Organisation),
	}
	for i := range cfg.Routes {
		r := &cfg.Routes[i]
		host := strings.ToLower(r.Host)
		t.hosts[host] = append(t.hosts[host], r)
	}
	for _, list := range t.hosts {
		sort.SliceStable(list, func(i, j int) bool { return len(list[i].Prefix) > len(list[j].Prefix) })
	}
	for i := range cfg.Services {
		t.services[cfg.Services[i].Name] = &cfg.Services[i]
	}
	for i := range cfg.Organisations {
		for _, key := range cfg.Organisations[i].Keys {
			t.keys[key] = &cfg.Organisations[i]
		}
	}
	return t
}

// Match returns the route of the longest prefix that begins the path, or nil.
func (t *Table) Match(host, path string) *Route {
	host = strings.ToLower(host)
	list := t.hosts[host]
	if list == nil {
		if i := strings.LastIndexByte(host, ':'); i > 0 {
			list = t.hosts[host[:i]]
		}
	}
	for _, r := range list {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// Service returns a service by name, or nil.
func (t *Table) Service(name string) *Service { return t.services[name] }

// Organisation returns the holder of a key, or nil.
func (t *Table) Organisation(key string) *Organisation { return t.keys[key] }

// RequiresKey reports whether requests need a key.
func (t *Table) RequiresKey() bool { return len(t.Organisations) > 0 }

// PickService returns the service that serves a request. Requests spread over a split
// by their id, so that a repeated look-up agrees.
func (r *Route) PickService(id string) string {
	if len(r.Split) == 1 {
		return r.Split[0].Service
	}
	total := 0
	for _, s := range r.Split {
		total += max(s.Weight, 0)
	}
	if total == 0 {
		return ""
	}
	point := int(xxhash.Sum64String(id) % uint64(total))
	for _, s := range r.Split {
		point -= max(s.Weight, 0)
		if point < 0 {
			return s.Service
		}
	}
	return ""
}
