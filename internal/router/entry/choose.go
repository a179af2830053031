package entry

import (
	"math/rand/v2"
	"slices"
	"time"

	"wisteriafield/internal/config/document"
	"wisteriafield/internal/decision/placement"
	"wisteriafield/internal/decision/resume"
	"wisteriafield/internal/platform/hosts"
	"wisteriafield/internal/router/keeper"
)

// keeperChoice is a keeper with the servers it is believed to have.
type keeperChoice struct {
	name    string
	servers []string
}

type globalRandom struct{}

func (globalRandom) Float64() float64 { return rand.Float64() }

// choose picks the keeper for the next attempt.
func (e *Entry) choose(req *Request, act resume.Action) (keeperChoice, bool) {
	view := e.deps.View()
	if view == nil {
		return keeperChoice{}, false
	}
	now := time.Now()
	groups := e.groups(view, req, now)
	if g, ok := groups[act.Prefer]; ok && !act.Exclude[act.Prefer] {
		return keeperChoice{act.Prefer, g.servers}, true
	}
	candidates := e.candidates(groups, req, act.Exclude)
	if len(candidates) == 0 {
		candidates = e.candidates(groups, req, nil)
	}
	self := e.deps.Members.Self()
	i := placement.Choose(now, self.Domain, self.Region, candidates, globalRandom{})
	if act.Queue {
		i = placement.Cheapest(now, self.Domain, self.Region, candidates)
	}
	if i < 0 {
		return keeperChoice{}, false
	}
	name := candidates[i].Name
	return keeperChoice{name, groups[name].servers}, true
}

// twoHop reports whether keepers have the queues; the baselines have none.
func (e *Entry) twoHop() bool {
	view := e.deps.View()
	return view != nil && view.Policy.Routing == document.TwoHop
}

// group is the servers of one keeper that carry a model.
type group struct {
	servers  []string
	capacity float64
}

func (e *Entry) groups(view *document.View, req *Request, now time.Time) map[string]*group {
	groups := make(map[string]*group)
	self := e.deps.Members.Self()
	for i := range view.Engines {
		s := &view.Engines[i]
		if !slices.Contains(s.Models, req.Model.Name) || s.Environment != self.Environment {
			continue
		}
		if version, ok := e.deps.ModelVersion(s.Name, req.Model.Name); !ok || version != req.Version {
			continue
		}
		if h, ok := e.deps.Hosts.Host(s.Name); ok && h.State == hosts.Leaving || e.deps.Draining(s.Name) {
			continue
		}
		name := self.Name
		if view.Policy.Routing == document.TwoHop {
			name = e.deps.Members.Keeper(s.Name, s.Region, now)
		}
		g := groups[name]
		if g == nil {
			g = &group{}
			groups[name] = g
		}
		g.servers = append(g.servers, s.Name)
		g.capacity += float64(s.Slots) * s.Speed
	}
	return groups
}

func (e *Entry) candidates(groups map[string]*group, req *Request, exclude map[string]bool) []placement.Candidate {
	needs := keeper.ModelKey(req.Model.Name, req.Version, req.Adapter)
	var all []placement.Candidate
	for name, g := range groups {
		h, ok := e.deps.Members.Host(name)
		if !ok || exclude[name] {
			continue
		}
		wait, seenAt := e.deps.Waits.Get(name, needs)
		all = append(all, placement.Candidate{
			Name: name, Domain: h.Domain, Region: h.Region, Capacity: g.capacity,
			Wait: wait, SeenAt: seenAt, Self: name == e.deps.Members.Self().Name,
		})
	}
	return all
}
