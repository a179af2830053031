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

// sendOrders sends an order to each engine whose models differ from the plan,
// without waiting for its answer. It reports whether an engine still differs or
// drains.
func (p *Planner) sendOrders(ctx context.Context, view *document.View, next *plan.Plan) bool {
	pending := false
	for _, e := range p.engines(view) {
		entry, state := next.Engines[e.Name], p.engineStates[e.Name]
		pending = pending || entry.Draining
		if entry.Draining || !state.Up || maps.Equal(entry.Models, state.LoadedModels) {
			continue
		}
		pending = true
		if !p.holdsLease(time.Now()) || !p.beginOrder(e.Name) {
			continue
		}
		go p.sendOrder(ctx, e, engine.Order{Fencing: next.Fencing(), Models: entry.Models, Adapters: adaptersOf(view, entry.Models), Role: "generate"})
	}
	return pending
}

func (p *Planner) sendOrder(ctx context.Context, e document.Engine, o engine.Order) {
	defer p.endOrder(e.Name)
	ordersTotal.Inc()
	err := p.deps.Engines.SendOrder(ctx, e.Address, o)
	if errors.Is(err, engine.ErrFenced) {
		fencedOrdersTotal.Inc()
	}
	if err != nil {
		p.deps.Log.WithField("server", e.Name).Infof("order to engine failed: %v", err)
	}
}

// beginOrder marks an order to an engine as under way, and reports false if one
// already is.
func (p *Planner) beginOrder(name string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.ordersInFlight[name] {
		return false
	}
	p.ordersInFlight[name] = true
	return true
}

func (p *Planner) endOrder(name string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.ordersInFlight, name)
}

// adaptersOf returns the adapters of each model that has some.
func adaptersOf(view *document.View, models map[string]string) map[string][]string {
	adapters := make(map[string][]string)
	for name := range models {
		if m := view.Model(name); m != nil && len(m.Adapters) > 0 {
			adapters[name] = m.Adapters
		}
	}
	return adapters
}
