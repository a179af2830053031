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

// keeperChoice is a keeper and the servers that it is expected to manage.
type keeperChoice struct {
	name    string
	servers []string
}

// globalRandom makes the global random source an argument of placement.
type globalRandom struct{}

func (globalRandom) Float64() float64 { return rand.Float64() }

// chooseKeeper returns the keeper for the next attempt: the preferred one of the
// action if it has servers for the model, else one by placement. Excluded keepers
// are considered only if there are no others.
func (e *Entry) chooseKeeper(req *Request, act resume.Action) (keeperChoice, bool) {
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

// twoHop reports whether the policy routes requests to keepers that queue them; the
// baseline policies do not.
func (e *Entry) twoHop() bool {
	view := e.deps.View()
	return view != nil && view.Policy.Routing == document.TwoHop
}

// serverGroup is the servers of one keeper that carry a model.
type serverGroup struct {
	servers  []string
	capacity float64 // tokens a second of all slots
}

// groups returns the usable servers for a request, by the keeper that manages them.
func (e *Entry) groups(view *document.View, req *Request, now time.Time) map[string]*serverGroup {
	groups := make(map[string]*serverGroup)
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
			g = &serverGroup{}
			groups[name] = g
		}
		g.servers = append(g.servers, s.Name)
		g.capacity += float64(s.Slots) * s.Speed
	}
	return groups
}

// candidates returns the known routers among the keepers, without excluded ones.
func (e *Entry) candidates(groups map[string]*serverGroup, req *Request, exclude map[string]bool) []placement.Candidate {
	modelKey := keeper.ModelKey(req.Model.Name, req.Version, req.Adapter)
	var all []placement.Candidate
	for name, g := range groups {
		h, ok := e.deps.Members.Host(name)
		if !ok || exclude[name] {
			continue
		}
		wait, seenAt := e.deps.Waits.Get(name, modelKey)
		all = append(all, placement.Candidate{
			Name: name, Domain: h.Domain, Region: h.Region, Capacity: g.capacity,
			Wait: wait, SeenAt: seenAt, Self: name == e.deps.Members.Self().Name,
		})
	}
	return all
}
