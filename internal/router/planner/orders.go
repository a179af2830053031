package planner

import (
	"context"
	"maps"
	"time"

	"github.com/pkg/errors"

	"wisteriafield/internal/backend/engine"
	"wisteriafield/internal/config/document"
	"wisteriafield/internal/decision/plan"
)

// order tells engines that differ from the plan what they are to carry. It
// reports whether any did.
func (p *Planner) order(ctx context.Context, view *document.View, next *plan.Plan) bool {
	busy := false
	for _, e := range p.engines(view) {
		entry, state := next.Engines[e.Name], p.states[e.Name]
		busy = busy || entry.Draining
		if entry.Draining || !state.Up || maps.Equal(entry.Models, state.Carries) {
			continue
		}
		busy = true
		if !p.leads(time.Now()) || !p.beginOrder(e.Name) {
			continue
		}
		go p.send(ctx, e, engine.Order{Fencing: next.Revision, Models: entry.Models, Adapters: adaptersOf(view, entry.Models), Role: "generate"})
	}
	return busy
}

func (p *Planner) send(ctx context.Context, e document.Engine, o engine.Order) {
	defer p.endOrder(e.Name)
	ordersTotal.Inc()
	err := p.deps.Engines.SendOrder(ctx, e.Address, o)
	if errors.Is(err, engine.ErrFenced) {
		fencedTotal.Inc()
	}
	if err != nil {
		p.deps.Log.WithField("server", e.Name).Infof("order failed: %v", err)
	}
}

func (p *Planner) beginOrder(name string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.ordering[name] {
		return false
	}
	p.ordering[name] = true
	return true
}

func (p *Planner) endOrder(name string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.ordering, name)
}

func adaptersOf(view *document.View, models map[string]string) map[string][]string {
	adapters := make(map[string][]string)
	for name := range models {
		if m := view.Model(name); m != nil && len(m.Adapters) > 0 {
			adapters[name] = m.Adapters
		}
	}
	return adapters
}
