package planner

import (
	"math/rand/v2"
	"slices"
)

// ModelVersion returns the version of a model that an engine serves to new work.
// Without a plan, an engine serves the versions that the document names.
func (p *Planner) ModelVersion(engineName, model string) (string, bool) {
	view := p.deps.View()
	if view == nil {
		return "", false
	}
	m, e := view.Model(model), view.Engine(engineName)
	if m == nil || e == nil || !slices.Contains(e.Models, model) {
		return "", false
	}
	current := p.Current()
	if current == nil {
		return m.Version, true
	}
	entry, ok := current.Engines[engineName]
	if !ok {
		return m.Version, true
	}
	version, ok := entry.Models[model]
	return version, ok
}

// Draining reports whether an engine gets no new work because its models are about
// to change.
func (p *Planner) Draining(engineName string) bool {
	current := p.Current()
	return current != nil && current.Engines[engineName].Draining
}

// ChooseVersion returns the version for a new generation of a model. During a
// rollout it picks a version at random, weighted by the capacity that serves it.
func (p *Planner) ChooseVersion(model string) (string, bool) {
	view := p.deps.View()
	if view == nil {
		return "", false
	}
	m := view.Model(model)
	if m == nil {
		return "", false
	}
	current := p.Current()
	if current == nil {
		return m.Version, true
	}
	versions := current.EnginesByVersion(model)
	total := 0.0
	capacity := make(map[string]float64)
	for version, names := range versions {
		for _, name := range names {
			if e := view.Engine(name); e != nil {
				capacity[version] += float64(e.Slots) * e.Speed
				total += float64(e.Slots) * e.Speed
			}
		}
	}
	remaining := rand.Float64() * total
	for version, c := range capacity {
		if remaining -= c; remaining < 0 {
			return version, true
		}
	}
	return m.Version, true
}
