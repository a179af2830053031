// Package plan decides which engine carries which models in which versions, and
// in which order engines change.
package plan

import (
	"maps"
	"time"

	"wisteriafield/internal/decision/placement"
	"wisteriafield/internal/decision/storehistory"
)

// revisionBits is the part of a fencing number that holds the revision.
const revisionBits = 32

// Plan is the decision as it is stored.
type Plan struct {
	Era         int64 `json:",omitempty"` // of the store when the plan was made
	Revision    int64
	Document    int64            // revision of the document that the plan was made from
	DocumentEra int64            `json:",omitempty"`
	Engines     map[string]Entry // by engine name
	NextLoadAt  time.Time        // no engine is ordered to load weights before this time
}

// Position orders plans: a restored store may have lost the latest ones, whose revisions
// are used again.
func (p *Plan) Position() storehistory.Position {
	return storehistory.Position{Era: p.Era, Revision: p.Revision}
}

// Fencing returns the fencing number of the orders to engines that carry out the plan.
func (p *Plan) Fencing() int64 { return p.Era<<revisionBits + p.Revision }

// Entry is the part of a plan for one engine.
type Entry struct {
	Models   map[string]string // models that it is to carry, with their versions
	Draining bool              // it gets no new work, because its models are about to change
}

// Model is what the document requires for one model.
type Model struct {
	Name     string
	Version  string
	Replicas int           // number of engines; 0 for every engine that may carry it
	LoadTime time.Duration // time to load its weights
}

// Engine is the known state of one engine.
type Engine struct {
	Name          string
	Domain        string
	AllowedModels []string          // models that it may carry
	Up            bool              // it answered the last probe
	Running       int               // number of requests that it runs
	LoadedModels  map[string]string // models that it carries now, with their versions
}

// Input is everything that Next depends on.
type Input struct {
	Now                  time.Time
	Era                  int64 // of the store
	Document             int64
	DocumentEra          int64
	Models               []Model
	Engines              []Engine
	Previous             Plan
	MaxConcurrentChanges int // engines that may drain or change their models at the same time
}

// Next returns the plan that follows the previous one, and whether it differs.
func Next(in Input) (Plan, bool) {
	next := Plan{
		Era: max(in.Previous.Era, in.Era), Revision: in.Previous.Revision, Document: in.Document, DocumentEra: in.DocumentEra,
		Engines: make(map[string]Entry), NextLoadAt: in.Previous.NextLoadAt,
	}
	desired := desiredModels(in)
	changing := countChanging(in)
	changed := in.Previous.Document != in.Document || in.Previous.DocumentEra != in.DocumentEra || in.Previous.Era != next.Era
	for _, e := range in.Engines {
		old, known := in.Previous.Engines[e.Name]
		entry := old
		if !known {
			entry = Entry{Models: initialModels(e, desired[e.Name])}
		}
		entry = step(in, e, entry, desired[e.Name], &changing, &next)
		next.Engines[e.Name] = entry
		changed = changed || !known || entry.Draining != old.Draining || !maps.Equal(entry.Models, old.Models)
	}
	if changed {
		next.Revision++
	}
	return next, changed
}

// initialModels returns the models of an engine that the plan does not have yet:
// those that it carries already, or the desired ones if it carries none.
func initialModels(e Engine, desired map[string]string) map[string]string {
	if len(e.LoadedModels) > 0 {
		return maps.Clone(e.LoadedModels)
	}
	return desired
}

// step brings one engine closer to its desired models: it drains the engine,
// waits until the engine runs no request, then orders the change.
func step(in Input, e Engine, entry Entry, desired map[string]string, changing *int, next *Plan) Entry {
	if maps.Equal(entry.Models, desired) {
		entry.Draining = false
		return entry
	}
	if !entry.Draining {
		if *changing >= in.MaxConcurrentChanges || !e.Up || isLastCarrier(in, e, entry) && len(in.Engines) > 1 && *changing > 0 {
			return entry
		}
		*changing++
		entry.Draining = true
		return entry
	}
	if e.Running > 0 || in.Now.Before(next.NextLoadAt) {
		return entry
	}
	next.NextLoadAt = in.Now.Add(totalLoadTime(in, entry.Models, desired))
	return Entry{Models: desired}
}

// isLastCarrier reports whether no other engine serves one of the entry's models.
func isLastCarrier(in Input, e Engine, entry Entry) bool {
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

// totalLoadTime returns the time to load the models that change.
func totalLoadTime(in Input, old, desired map[string]string) time.Duration {
	var sum time.Duration
	for _, m := range in.Models {
		if v, ok := desired[m.Name]; ok && old[m.Name] != v {
			sum += m.LoadTime
		}
	}
	return sum
}

// countChanging returns the number of engines that drain, or whose models differ
// from the plan.
func countChanging(in Input) int {
	n := 0
	for _, e := range in.Engines {
		entry, ok := in.Previous.Engines[e.Name]
		if ok && (entry.Draining || e.Up && !maps.Equal(entry.Models, e.LoadedModels)) {
			n++
		}
	}
	return n
}

// desiredModels assigns each model to engines and returns the models with their
// versions, by engine name. The engines of a model are spread over failure
// domains; engines that carry the model already are preferred, then those that
// come first by rendezvous hashing.
func desiredModels(in Input) map[string]map[string]string {
	desired := make(map[string]map[string]string)
	for _, e := range in.Engines {
		desired[e.Name] = make(map[string]string)
	}
	for _, m := range in.Models {
		candidates := candidatesFor(in, m)
		n := len(candidates)
		if m.Replicas > 0 {
			n = min(n, m.Replicas)
		}
		perDomain := make(map[string]int)
		for range n {
			i := leastUsedDomain(candidates, perDomain)
			desired[candidates[i].Name][m.Name] = m.Version
			perDomain[candidates[i].Domain]++
			candidates = append(candidates[:i:i], candidates[i+1:]...)
		}
	}
	return desired
}

// candidatesFor returns the engines that may carry a model, in order of
// preference.
func candidatesFor(in Input, m Model) []Engine {
	byName := make(map[string]Engine)
	var carrying, other []string
	for _, e := range in.Engines {
		for _, name := range e.AllowedModels {
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

// leastUsedDomain returns the index of the first candidate whose failure domain
// has the fewest engines chosen so far.
func leastUsedDomain(candidates []Engine, perDomain map[string]int) int {
	best := 0
	for i, e := range candidates {
		if perDomain[e.Domain] < perDomain[candidates[best].Domain] {
			best = i
		}
	}
	return best
}

// EnginesByVersion returns the names of the engines that accept new work for a
// model, by version.
func (p *Plan) EnginesByVersion(model string) map[string][]string {
	versions := make(map[string][]string)
	for name, entry := range p.Engines {
		if v, ok := entry.Models[model]; ok && !entry.Draining {
			versions[v] = append(versions[v], name)
		}
	}
	return versions
}
