// Package planner computes the order plan, which says which models each engine
// serves, on the router that holds the lease in the platform's store, and lets
// every router follow that plan.
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
	"wisteriafield/internal/decision/storehistory"
	"wisteriafield/internal/router/members"
	"wisteriafield/platform/kv"
)

const (
	leaseTTL           = 10 * time.Second
	leaseMargin        = 2 * time.Second // the lease is not used this close to its expiry
	stepInterval       = time.Second
	idleProbeInterval  = 20 * time.Second // between engine probes while nothing changes
	maxChangingEngines = 2                // engines that change at a time
	maxCandidates      = 3                // routers that try to get the lease
	storeRetryDelay    = time.Second
)

var (
	plansTotal        = metrics.NewCounter("wisteriafield_plans_total")
	ordersTotal       = metrics.NewCounter("wisteriafield_orders_total")
	fencedOrdersTotal = metrics.NewCounter("wisteriafield_orders_fenced_total")
)

// Store is the part of the platform's store that a planner needs.
type Store interface {
	Get(ctx context.Context, key string) (kv.Value, error)
	Watch(ctx context.Context, key string, after storehistory.Position) (kv.Value, error)
	Put(ctx context.Context, key string, body []byte, revision int64, lease string) (int64, error)
	Grant(ctx context.Context, ttl time.Duration) (string, error)
	KeepAlive(ctx context.Context, lease string) error
	Era() int64 // newest that an answer named
}

// Caller calls other routers.
type Caller interface {
	Call(ctx context.Context, address, method string, params, result any) error
}

// Deps holds the dependencies of a planner.
type Deps struct {
	Store   Store
	Peers   Caller
	Members *members.Members
	View    func() *document.View
	Engines *engine.Client
	Log     *logrus.Entry
}

// Planner follows the plan and, while this router holds the lease, computes it.
type Planner struct {
	deps    Deps
	current atomic.Pointer[plan.Plan]

	// Used only by the Lead loop, except leaderUntil and leaseEra.
	lease        string
	leaseUntil   time.Time
	leaseEra     atomic.Int64 // of the store when it granted the lease
	nextProbeAt  time.Time
	leaderUntil  atomic.Int64 // leaseUntil less leaseMargin in Unix ns, read by IsLeader
	engineStates map[string]plan.Engine

	mu             sync.Mutex
	ordersInFlight map[string]bool // names of engines with an order under way
}

// New returns a planner without a plan.
func New(deps Deps) *Planner {
	return &Planner{deps: deps, engineStates: make(map[string]plan.Engine), ordersInFlight: make(map[string]bool)}
}

// Current returns the plan in effect, or nil.
func (p *Planner) Current() *plan.Plan { return p.current.Load() }

func (p *Planner) planKey() string { return "plan/" + p.deps.Members.Self().Environment }

func (p *Planner) leaderKey() string { return "planner/" + p.deps.Members.Self().Environment }

// apply replaces the current plan if the given one is newer.
func (p *Planner) apply(next *plan.Plan) {
	for {
		old := p.current.Load()
		if old != nil && !old.Position().Before(next.Position()) {
			return
		}
		if p.current.CompareAndSwap(old, next) {
			return
		}
	}
}

// Lead computes the plan whenever this router holds the lease, until ctx ends.
func (p *Planner) Lead(ctx context.Context) error {
	loop.Every(ctx, stepInterval, func(time.Time) {
		view := p.deps.View()
		if view == nil || p.deps.Members.Stopping() || !p.isCandidate() || !p.acquireLease(ctx) {
			p.leaderUntil.Store(0)
			return
		}
		p.leaderUntil.Store(p.leaseUntil.Add(-leaseMargin).UnixNano())
		if err := p.step(ctx, view); err != nil {
			p.deps.Log.Debugf("planner step failed: %v", err)
		}
	})
	return nil
}

// isCurrentFor reports whether the current plan was made from the document of the view and
// in the store's era.
func (p *Planner) isCurrentFor(view *document.View) bool {
	current := p.Current()
	return current != nil && current.Document == view.Revision && current.DocumentEra == view.Era && current.Era >= p.deps.Store.Era()
}

// step probes the engines, writes the next plan if it differs from the stored one,
// and sends orders to the engines that differ from it.
func (p *Planner) step(ctx context.Context, view *document.View) error {
	now := time.Now()
	if p.isCurrentFor(view) && now.Before(p.nextProbeAt) {
		return nil
	}
	stored, storedRevision, err := p.readPlan(ctx)
	if err != nil {
		return err
	}
	p.probeEngines(ctx, view)
	previous := stored
	if current := p.Current(); current != nil && stored.Position().Before(current.Position()) {
		previous = *current // the store lost it
	}
	next, changed := plan.Next(p.planInput(view, previous, now))
	if changed {
		if err := p.writePlan(ctx, &next, storedRevision); err != nil {
			return err
		}
	}
	pending := p.sendOrders(ctx, view, &next)
	p.nextProbeAt = now.Add(idleProbeInterval)
	if changed || pending {
		p.nextProbeAt = now
	}
	return nil
}

// readPlan returns the stored plan and its revision in the store, which is 0 if
// none is stored.
func (p *Planner) readPlan(ctx context.Context) (plan.Plan, int64, error) {
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

// writePlan stores a plan, unless the store holds another revision than
// storedRevision, and makes it the current one.
func (p *Planner) writePlan(ctx context.Context, next *plan.Plan, storedRevision int64) error {
	if !p.holdsLease(time.Now()) {
		return errors.New("planner lease is about to expire")
	}
	old := p.Current()
	invariant.Check(positionOf(old).Before(next.Position()), "plan %+v is not later than %+v in effect", next.Position(), positionOf(old))
	body, err := json.Marshal(next)
	if err != nil {
		return fmt.Errorf("encode plan: %w", err)
	}
	if _, err := p.deps.Store.Put(ctx, p.planKey(), body, storedRevision, ""); err != nil {
		return fmt.Errorf("write plan: %w", err)
	}
	plansTotal.Inc()
	p.apply(next)
	p.deps.Log.WithField("plan", next.Revision).Info("plan written to store")
	return nil
}

func positionOf(p *plan.Plan) storehistory.Position {
	if p == nil {
		return storehistory.Position{}
	}
	return p.Position()
}

// planInput builds the input of plan.Next from the document, the previous plan and
// the probed states of the engines.
func (p *Planner) planInput(view *document.View, previous plan.Plan, now time.Time) plan.Input {
	in := plan.Input{
		Now: now, Era: p.deps.Store.Era(), Document: view.Revision, DocumentEra: view.Era,
		Previous: previous, MaxConcurrentChanges: maxChangingEngines,
	}
	for _, m := range view.Models {
		loadTime := time.Duration(float64(m.Size) / max(view.Policy.LoadRate, 1) * float64(time.Second))
		in.Models = append(in.Models, plan.Model{Name: m.Name, Version: m.Version, Replicas: m.Replicas, LoadTime: loadTime})
	}
	for _, e := range p.engines(view) {
		state := p.engineStates[e.Name]
		state.Name, state.Domain, state.AllowedModels = e.Name, e.Domain, e.Models
		in.Engines = append(in.Engines, state)
	}
	return in
}

// engines returns the engines of this router's environment.
func (p *Planner) engines(view *document.View) []document.Engine {
	var all []document.Engine
	for _, e := range view.Engines {
		if e.Environment == p.deps.Members.Self().Environment {
			all = append(all, e)
		}
	}
	return all
}

// probeEngines asks all engines which models they serve and how many attempts
// they run.
func (p *Planner) probeEngines(ctx context.Context, view *document.View) {
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
	p.engineStates = states
}
