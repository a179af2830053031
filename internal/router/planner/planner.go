// Package planner makes the order plan on the router that holds the platform's
// lease, and lets every router follow it.
package planner

import (
	"context"
	"encoding/json"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"wisteriafield/internal/backend/engine"
	"wisteriafield/internal/base/loop"
	"wisteriafield/internal/config/document"
	"wisteriafield/internal/decision/invariant"
	"wisteriafield/internal/decision/plan"
	"wisteriafield/internal/router/members"
	"wisteriafield/platform/kv"
)

const (
	leaseTTL    = 10 * time.Second
	leaseMargin = 2 * time.Second // before its end the lease is not used any more
	stepEvery   = time.Second
	calmEvery   = 20 * time.Second // between looks at engines while nothing changes
	maxMoving   = 2
	contenders  = 3 // routers that try to get the lease
	retryStore  = time.Second
)

var (
	plansTotal  = metrics.NewCounter("wisteriafield_plans_total")
	ordersTotal = metrics.NewCounter("wisteriafield_orders_total")
	fencedTotal = metrics.NewCounter("wisteriafield_orders_fenced_total")
)

// Store is the part of the platform's store that a planner needs.
type Store interface {
	Get(ctx context.Context, key string) (kv.Value, error)
	Watch(ctx context.Context, key string, after int64) (kv.Value, error)
	Put(ctx context.Context, key string, body []byte, revision int64, lease string) (int64, error)
	Grant(ctx context.Context, ttl time.Duration) (string, error)
	KeepAlive(ctx context.Context, lease string) error
}

// Caller calls other routers.
type Caller interface {
	Call(ctx context.Context, address, method string, params, result any) error
}

// Deps is what a planner needs.
type Deps struct {
	Store   Store
	Peers   Caller
	Members *members.Members
	View    func() *document.View
	Engines *engine.Client
	Log     *logrus.Entry
}

// Planner follows the plan and, while it holds the lease, makes it.
type Planner struct {
	deps    Deps
	current atomic.Pointer[plan.Plan]

	// Used by the loop that leads only.
	lease      string
	leaseUntil time.Time
	lookAt     time.Time
	leadsUntil atomic.Int64 // leaseUntil less its margin, for Leads
	states     map[string]plan.Engine

	mu       sync.Mutex
	ordering map[string]bool // engines with an order on its way
}

// New returns a planner without a plan.
func New(deps Deps) *Planner {
	return &Planner{deps: deps, states: make(map[string]plan.Engine), ordering: make(map[string]bool)}
}

// Current returns the plan in force, or nil.
func (p *Planner) Current() *plan.Plan { return p.current.Load() }

func (p *Planner) planKey() string { return "plan/" + p.deps.Members.Self().Environment }

func (p *Planner) leaderKey() string { return "planner/" + p.deps.Members.Self().Environment }

// take takes a plan in if it is newer.
func (p *Planner) take(next *plan.Plan) {
	for {
		old := p.current.Load()
		if old != nil && next.Revision <= old.Revision {
			return
		}
		if p.current.CompareAndSwap(old, next) {
			return
		}
	}
}

// Lead makes the plan while this router holds the lease, until ctx ends.
func (p *Planner) Lead(ctx context.Context) error {
	loop.Every(ctx, stepEvery, func(time.Time) {
		view := p.deps.View()
		if view == nil || p.deps.Members.Stopping() || !p.contends() || !p.hold(ctx) {
			p.leadsUntil.Store(0)
			return
		}
		p.leadsUntil.Store(p.leaseUntil.Add(-leaseMargin).UnixNano())
		if err := p.step(ctx, view); err != nil {
			p.deps.Log.Debugf("step: %v", err)
		}
	})
	return nil
}

// step looks at the engines, writes the next plan if there is one, and orders
// what the engines lack.
func (p *Planner) step(ctx context.Context, view *document.View) error {
	now := time.Now()
	if current := p.Current(); current != nil && current.Document == view.Revision && now.Before(p.lookAt) {
		return nil
	}
	stored, at, err := p.read(ctx)
	if err != nil {
		return err
	}
	p.look(ctx, view)
	next, changed := plan.Next(p.input(view, stored, now))
	if changed {
		if err := p.write(ctx, &next, at); err != nil {
			return err
		}
	}
	busy := p.order(ctx, view, &next)
	p.lookAt = now.Add(calmEvery)
	if changed || busy {
		p.lookAt = now
	}
	return nil
}

// read returns the stored plan with the store's revision of it.
func (p *Planner) read(ctx context.Context) (plan.Plan, int64, error) {
	v, err := p.deps.Store.Get(ctx, p.planKey())
	if errors.Is(err, kv.ErrNotFound) {
		return plan.Plan{}, 0, nil
	}
	if err != nil {
		return plan.Plan{}, 0, fmt.Errorf("read plan: %w", err)
	}
	var stored plan.Plan
	if err := json.Unmarshal(v.Body, &stored); err != nil {
		return plan.Plan{}, 0, fmt.Errorf("decode plan: %w", err)
	}
	return stored, v.Revision, nil
}

func (p *Planner) write(ctx context.Context, next *plan.Plan, at int64) error {
	if !p.leads(time.Now()) {
		return errors.New("lease is about to end")
	}
	old := p.Current()
	invariant.Check(old == nil || next.Revision > old.Revision, "plan %d follows %d", next.Revision, revisionOf(old))
	body, err := json.Marshal(next)
	if err != nil {
		return fmt.Errorf("encode plan: %w", err)
	}
	if _, err := p.deps.Store.Put(ctx, p.planKey(), body, at, ""); err != nil {
		return fmt.Errorf("write plan: %w", err)
	}
	plansTotal.Inc()
	p.take(next)
	p.deps.Log.WithField("plan", next.Revision).Info("plan written")
	return nil
}

func revisionOf(p *plan.Plan) int64 {
	if p == nil {
		return 0
	}
	return p.Revision
}

func (p *Planner) input(view *document.View, stored plan.Plan, now time.Time) plan.Input {
	in := plan.Input{Now: now, Document: view.Revision, Previous: stored, MaxConcurrentChanges: maxMoving}
	for _, m := range view.Models {
		load := time.Duration(float64(m.Size) / max(view.Policy.LoadRate, 1) * float64(time.Second))
		in.Models = append(in.Models, plan.Model{Name: m.Name, Version: m.Version, Replicas: m.Replicas, LoadTime: load})
	}
	for _, e := range p.engines(view) {
		state := p.states[e.Name]
		state.Name, state.Domain, state.AllowedModels = e.Name, e.Domain, e.Models
		in.Engines = append(in.Engines, state)
	}
	return in
}

func (p *Planner) engines(view *document.View) []document.Engine {
	var all []document.Engine
	for _, e := range view.Engines {
		if e.Environment == p.deps.Members.Self().Environment {
			all = append(all, e)
		}
	}
	return all
}

// look asks all engines what they carry and run.
func (p *Planner) look(ctx context.Context, view *document.View) {
	var mu sync.Mutex
	var wg sync.WaitGroup
	states := make(map[string]plan.Engine)
	for _, e := range p.engines(view) {
		wg.Add(1)
		go func() {
			defer wg.Done()
			state, err := p.deps.Engines.State(ctx, e.Address)
			mu.Lock()
			defer mu.Unlock()
			states[e.Name] = plan.Engine{Up: err == nil, Running: state.Running, LoadedModels: state.Models}
		}()
	}
	wg.Wait()
	p.states = states
}
