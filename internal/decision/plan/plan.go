// Package plan decides which engine carries which models and versions, and in
// which order engines change.
package plan

import (
	"maps"
	"time"

	"wisteriafield/internal/decision/placement"
)

// Plan is the stored decision. Its revision is the fencing number of the orders
// that carry it out.
type Plan struct {
	Revision   int64
	Document   int64 // revision of the document it is made from
	Engines    map[string]Entry
	NextLoadAt time.Time // no load of weights is ordered before
}

// Entry is what one engine is to carry.
type Entry struct {
	Models   map[string]string // model to version
	Draining bool              // it gets no new work, since it is about to change
}

// Model is what a document asks for.
type Model struct {
	Name     string
	Version  string
	Replicas int // 0 for every engine that may carry it
	Load     time.Duration
}

// Engine is an engine with what is known of it.
type Engine struct {
	Name    string
	Domain  string
	Models  []string // that it may carry
	Up      bool     // it answered
	Running int      // requests that it runs
	Carries map[string]string
}

// Input is all that a step of the plan depends on.
type Input struct {
	Now       time.Time
	Document  int64
	Models    []Model
	Engines   []Engine
	Previous  Plan
	MaxMoving int // engines that change at a time
}

// Next returns the plan that follows the previous one, and whether it differs.
func Next(in Input) (Plan, bool) {
	next := Plan{Revision: in.Previous.Revision, Document: in.Document, Engines: make(map[string]Entry), NextLoadAt: in.Previous.NextLoadAt}
	wanted := assign(in)
	moving := countMoving(in)
	changed := in.Previous.Document != in.Document
	for _, e := range in.Engines {
		old, known := in.Previous.Engines[e.Name]
		entry := old
		if !known {
			entry = Entry{Models: initial(e, wanted[e.Name])}
		}
		entry = step(in, e, entry, wanted[e.Name], &moving, &next)
		next.Engines[e.Name] = entry
		changed = changed || !known || entry.Draining != old.Draining || !maps.Equal(entry.Models, old.Models)
	}
	if changed {
		next.Revision++
	}
	return next, changed
}

// initial keeps what a new engine carries already, as far as it is wanted.
func initial(e Engine, wanted map[string]string) map[string]string {
	if len(e.Carries) > 0 {
		return maps.Clone(e.Carries)
	}
	return wanted
}

// step moves one engine towards what is wanted: drain it, wait until it runs
// nothing, then order the change.
func step(in Input, e Engine, entry Entry, wanted map[string]string, moving *int, next *Plan) Entry {
	if maps.Equal(entry.Models, wanted) {
		entry.Draining = false
		return entry
	}
	if !entry.Draining {
		if *moving >= in.MaxMoving || !e.Up || lastCarrier(in, e, entry) && len(in.Engines) > 1 && *moving > 0 {
			return entry
		}
		*moving++
		entry.Draining = true
		return entry
	}
	if e.Running > 0 || in.Now.Before(next.NextLoadAt) {
		return entry
	}
	next.NextLoadAt = in.Now.Add(loadTime(in, entry.Models, wanted))
	return Entry{Models: wanted}
}

// lastCarrier reports whether no other engine serves one of the entry's models.
func lastCarrier(in Input, e Engine, entry Entry) bool {
	for model := range entry.Models {
		others := 0
		for name, other := range in.Previous.Engines {
			if _, ok := other.Models[model]; ok && name != e.Name && !other.Draining {
				others++
			}
		}
		if others == 0 {
			return true
		}
	}
	return false
}

func loadTime(in Input, old, wanted map[string]string) time.Duration {
	var sum time.Duration
	for _, m := range in.Models {
		if v, ok := wanted[m.Name]; ok && old[m.Name] != v {
			sum += m.Load
		}
	}
	return sum
}

// countMoving counts the engines that drain, or carry something else than their
// plan says.
func countMoving(in Input) int {
	n := 0
	for _, e := range in.Engines {
		entry, ok := in.Previous.Engines[e.Name]
		if ok && (entry.Draining || e.Up && !maps.Equal(entry.Models, e.Carries)) {
			n++
		}
	}
	return n
}

// assign chooses the engines of each model: spread over failure domains, those
// that carry it already first, then by rendezvous hashing.
func assign(in Input) map[string]map[string]string {
	wanted := make(map[string]map[string]string)
	for _, e := range in.Engines {
		wanted[e.Name] = make(map[string]string)
	}
	for _, m := range in.Models {
		candidates := candidatesFor(in, m)
		n := len(candidates)
		if m.Replicas > 0 {
			n = min(n, m.Replicas)
		}
		perDomain := make(map[string]int)
		for range n {
			i := leastUsed(candidates, perDomain)
			wanted[candidates[i].Name][m.Name] = m.Version
			perDomain[candidates[i].Domain]++
			candidates = append(candidates[:i:i], candidates[i+1:]...)
		}
	}
	return wanted
}

// candidatesFor returns the engines that may carry a model, the best first.
func candidatesFor(in Input, m Model) []Engine {
	byName := make(map[string]Engine)
	var carrying, other []string
	for _, e := range in.Engines {
		for _, name := range e.Models {
			if name != m.Name {
				continue
			}
			byName[e.Name] = e
			if _, ok := in.Previous.Engines[e.Name].Models[m.Name]; ok {
				carrying = append(carrying, e.Name)
			} else {
				other = append(other, e.Name)
			}
		}
	}
	var all []Engine
	for _, names := range [][]string{carrying, other} {
		for _, name := range placement.Rendezvous(m.Name, names) {
			all = append(all, byName[name])
		}
	}
	return all
}

func leastUsed(candidates []Engine, perDomain map[string]int) int {
	best := 0
	for i, e := range candidates {
		if perDomain[e.Domain] < perDomain[candidates[best].Domain] {
			best = i
		}
	}
	return best
}

// EnginesByVersion returns the engines that serve new work of a model, by version.
func (p *Plan) EnginesByVersion(model string) map[string][]string {
	versions := make(map[string][]string)
	for name, entry := range p.Engines {
		if v, ok := entry.Models[model]; ok && !entry.Draining {
			versions[v] = append(versions[v], name)
		}
	}
	return versions
}
