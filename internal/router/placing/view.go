package placing

import (
	"slices"
	"time"

	"wisteriafield/internal/backend/registry"
	"wisteriafield/internal/decision/balance"
	"wisteriafield/internal/decision/enginetable"
)

const (
	// viewInterval is the least time between two looks at the live peers.
	viewInterval = time.Second
	// warmTime is how long after a router became the owner of a group it may not know all
	// attempts there: routers repeat them every enginetable.RepeatInterval.
	warmTime = enginetable.RepeatInterval + 500*time.Millisecond
)

// view is this router's view of the engines of a service and their owners. It is computed again
// when the list of servers or the live peers change.
type view struct {
	*enginetable.View
	list     []*registry.Entry // that the view was computed from
	names    []string
	warmAt   map[int]time.Time // when this router will know the attempts of the groups that it owns
	engines  []*registry.Entry // that this router owns
	warmings []time.Time       // warmAt of the engines
	keys     map[engineRef]enginetable.Key
}

// viewOf returns the view of a service. The caller holds mu.
func (p *Placing) viewOf(service string, now time.Time) *view {
	p.updateNames(now)
	list := p.cfg.Servers.Service(service)
	v := p.views[service]
	if v != nil && sameList(v.list, list) && sameNames(v.names, p.names) {
		return v
	}
	if v == nil {
		v = &view{}
		p.views[service] = v
	}
	current := 0
	if v.View != nil {
		current = v.Groups()
	}
	groups := enginetable.GroupCount(len(list), current)
	if groups != current || !sameNames(v.names, p.names) {
		v.setOwners(enginetable.NewView(service, groups, p.names), p.cfg.Self, now)
	}
	v.list, v.names = list, p.names
	v.engines, v.warmings, v.keys = nil, nil, make(map[engineRef]enginetable.Key, len(list))
	for _, e := range list {
		v.keys[refOf(keyOf(e.Key()))] = keyOf(e.Key())
		if group := v.Group(e.ID); v.GroupOwner(group) == p.cfg.Self {
			v.engines, v.warmings = append(v.engines, e), append(v.warmings, v.warmAt[group])
		}
	}
	return v
}

// resolve returns the engine that a message names, if this router knows it. The caller holds mu.
func (p *Placing) resolve(ref engineRef, now time.Time) (engine enginetable.Key, known bool) {
	for service := range p.views {
		if engine, known = p.viewOf(service, now).keys[ref]; known {
			return engine, true
		}
	}
	return enginetable.Key{}, false
}

// setOwners replaces the groups and their owners.
func (v *view) setOwners(next *enginetable.View, self string, now time.Time) {
	warmAt := make(map[int]time.Time)
	for group := range next.Groups() {
		if next.GroupOwner(group) != self {
			continue
		}
		warmAt[group] = now.Add(warmTime)
		if v.View != nil && v.Groups() == next.Groups() && v.GroupOwner(group) == self {
			warmAt[group] = v.warmAt[group]
		}
	}
	v.View, v.warmAt = next, warmAt
}

// sameList reports whether two lists of the registry are the same one, which is never modified.
func sameList(a, b []*registry.Entry) bool {
	return len(a) == len(b) && (len(a) == 0 || &a[0] == &b[0])
}

// sameNames is true at once for the same slice, as between two looks at the peers.
func sameNames(a, b []string) bool {
	return len(a) == len(b) && (len(a) == 0 || &a[0] == &b[0] || slices.Equal(a, b))
}

// updateNames looks at the live peers if the last look is old enough. The caller holds mu.
func (p *Placing) updateNames(now time.Time) {
	if p.names != nil && now.Sub(p.namesAt) < viewInterval {
		return
	}
	p.namesAt = now
	names := []string{p.cfg.Self}
	addresses := make(map[string]string)
	for _, h := range p.cfg.Peers(now) {
		if h.DatagramAddress != "" && addresses[h.Name] == "" && h.Name != p.cfg.Self {
			names = append(names, h.Name)
			addresses[h.Name] = h.DatagramAddress
		}
	}
	p.addresses = addresses
	if slices.Sort(names); !slices.Equal(names, p.names) {
		p.names = names
	}
}

// candidates returns the engines that this router may offer. One with a limit is left out: each
// router has its own part of the limit. The caller holds mu.
func (p *Placing) candidates(v *view, now time.Time) []enginetable.Candidate {
	var all []enginetable.Candidate
	for i, e := range v.engines {
		if e.Leaving || !p.cfg.Limits.Allows(&e.Server, now) || p.cfg.Limits.Limited(&e.Server, now) {
			continue
		}
		st := e.Load.State(now)
		if st.Down || st.Full || now.Before(p.excluded[keyOf(e.Key())]) {
			continue
		}
		all = append(all, enginetable.Candidate{
			Key: keyOf(e.Key()), Warming: now.Before(v.warmings[i]), Speed: e.Load.FleetSpeed(),
			Engine: balance.Engine{Domain: e.Domain, Slots: e.Slots, Pace: st.Pace, ErrorRate: st.ErrorRate},
		})
	}
	return all
}

// refreshViews follows the live peers and the server list, and repeats to the owners what this
// router runs. Peers may take this router for an owner before they ask it, so all services
// get a view.
func (p *Placing) refreshViews(now time.Time) {
	p.mu.Lock()
	for _, e := range p.cfg.Servers.All() {
		if p.views[e.Service] == nil {
			p.viewOf(e.Service, now)
		}
	}
	for service := range p.views {
		if len(p.cfg.Servers.Service(service)) == 0 {
			delete(p.views, service)
			continue
		}
		p.viewOf(service, now)
	}
	repeats := p.dueRepeats(now)
	tableEntries.Set(float64(p.table.Len(now)))
	p.mu.Unlock()
	p.sendAll(repeats)
}
