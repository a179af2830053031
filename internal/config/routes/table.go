package routes

import (
	"sort"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// Table indexes one configuration for lookups. It is immutable.
type Table struct {
	Config

	routesByHost       map[string][]*Route // longest prefix first
	servicesByName     map[string]*Service
	organisationsByKey map[string]*Organisation
}

// NewTable indexes a configuration.
func NewTable(cfg Config) *Table {
	t := &Table{
		Config:             cfg,
		routesByHost:       make(map[string][]*Route),
		servicesByName:     make(map[string]*Service),
		organisationsByKey: make(map[string]*Organisation),
	}
	for i := range cfg.Routes {
		r := &cfg.Routes[i]
		host := strings.ToLower(r.Host)
		t.routesByHost[host] = append(t.routesByHost[host], r)
	}
	for _, candidates := range t.routesByHost {
		sort.SliceStable(candidates, func(i, j int) bool { return len(candidates[i].Prefix) > len(candidates[j].Prefix) })
	}
	for i := range cfg.Services {
		t.servicesByName[cfg.Services[i].Name] = &cfg.Services[i]
	}
	for i := range cfg.Organisations {
		for _, key := range cfg.Organisations[i].Keys {
			t.organisationsByKey[key] = &cfg.Organisations[i]
		}
	}
	return t
}

// Match returns the route of the host with the longest prefix of the path, or nil. It
// ignores the case of the host, and its port unless a route names that port.
func (t *Table) Match(host, path string) *Route {
	host = strings.ToLower(host)
	candidates := t.routesByHost[host]
	if candidates == nil {
		if i := strings.LastIndexByte(host, ':'); i > 0 {
			candidates = t.routesByHost[host[:i]]
		}
	}
	for _, r := range candidates {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// Service returns a service by name, or nil.
func (t *Table) Service(name string) *Service { return t.servicesByName[name] }

// Organisation returns the organisation that a key belongs to, or nil.
func (t *Table) Organisation(key string) *Organisation { return t.organisationsByKey[key] }

// RequiresKey reports whether requests need a key.
func (t *Table) RequiresKey() bool { return len(t.Organisations) > 0 }

// PickService returns the service that handles a request. A split spreads requests by
// the hash of their ID, so that every lookup for a request returns the same service.
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
