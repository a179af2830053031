// Package keeper runs attempts on the backend servers that this router looks
// after. It has the exact queue of these servers, and a copy of every answer
// that they generate for any entry.
package keeper

import (
	"context"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"wisteriafield/internal/backend/engine"
	"wisteriafield/internal/config/document"
	"wisteriafield/internal/decision/admission"
	"wisteriafield/internal/platform/hosts"
	"wisteriafield/internal/router/members"
)

const (
	// adoptFor is how long servers of another keeper are looked after because
	// an entry asked for it.
	adoptFor = 30 * time.Second
	// sweepEvery is how often abandoned attempts are looked for.
	sweepEvery = 500 * time.Millisecond
	// reportEvery is how often load reports are fetched.
	reportEvery = time.Second
)

// Deps is what a keeper needs.
type Deps struct {
	Members      *members.Members
	Hosts        *hosts.List
	View         func() *document.View // nil while no configuration is in force
	Engines      *engine.Client
	Log          *logrus.Entry
	ModelVersion func(engine, model string) (version string, ok bool) // by the order plan
	BetterKeeper func(model string, without string) string
	// Draining tells of an engine that gets no new work by the order plan.
	Draining func(engine string) bool
}

// Keeper is the keeper role of a router.
type Keeper struct {
	deps Deps

	mu       sync.Mutex
	queue    *admission.Queue
	adopted  map[string]time.Time // until when
	waiting  map[string]*attempt
	attempts map[string]*attempt // by attempt identifier
	latest   map[string]*attempt // by generation
	foreign  map[string]*foreign
	synced   *document.View
	syncedAt time.Time
}

// New returns a keeper without servers.
func New(deps Deps) *Keeper {
	return &Keeper{
		deps:     deps,
		queue:    admission.NewQueue(),
		adopted:  make(map[string]time.Time),
		waiting:  make(map[string]*attempt),
		attempts: make(map[string]*attempt),
		latest:   make(map[string]*attempt),
		foreign:  make(map[string]*foreign),
	}
}

// Run keeps the servers' state fresh until ctx ends.
func (k *Keeper) Run(ctx context.Context) error {
	sweep := time.NewTicker(sweepEvery)
	defer sweep.Stop()
	reports := time.NewTicker(reportEvery)
	defer reports.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case now := <-sweep.C:
			k.sweep(now)
		case <-reports.C:
			k.fetchReports(ctx)
		}
	}
}

// sync brings the queue's servers in line with the document, the host list and
// the placement. The caller holds mu.
func (k *Keeper) sync(now time.Time) {
	view := k.deps.View()
	if view == nil || view == k.synced && now.Sub(k.syncedAt) < 200*time.Millisecond {
		return
	}
	k.synced, k.syncedAt = view, now
	oneHop := view.Policy.Routing != document.TwoHop
	keep := make(map[string]bool)
	for i := range view.Engines {
		e := &view.Engines[i]
		if e.Environment != k.deps.Members.Self().Environment {
			continue
		}
		mine := oneHop || k.deps.Members.Keeper(e.Name, e.Region, now) == k.deps.Members.Self().Name
		if !mine && now.After(k.adopted[e.Name]) {
			continue
		}
		keep[e.Name] = true
		k.queue.PutServer(k.server(view, e))
	}
	for _, name := range k.queue.ServerNames() {
		if !keep[name] {
			k.queue.RemoveServer(name)
			delete(k.foreign, name)
		}
	}
	k.queue.Chooser = chooserFor(view.Policy)
}

func (k *Keeper) server(view *document.View, e *document.Engine) admission.Server {
	carries := make(map[string]bool)
	for _, name := range e.Models {
		m := view.Model(name)
		version, ok := k.deps.ModelVersion(e.Name, name)
		if m == nil || !ok {
			continue
		}
		carries[ModelKey(name, version, "")] = true
		for _, adapter := range m.Adapters {
			carries[ModelKey(name, version, adapter)] = true
		}
	}
	return admission.Server{Name: e.Name, Slots: e.Slots, Speed: e.Speed, Carries: carries, Leaving: k.leaving(e.Name)}
}

// leaving reports whether the order plan, the host list or the server itself
// says so.
func (k *Keeper) leaving(name string) bool {
	if k.deps.Draining(name) {
		return true
	}
	if h, ok := k.deps.Hosts.Host(name); ok && h.State == hosts.Leaving {
		return true
	}
	f := k.foreign[name]
	return f != nil && f.leaving
}

// adopt takes in servers that an entry believes to be here.
func (k *Keeper) adopt(names []string, now time.Time) {
	for _, name := range names {
		if k.queue.Server(name) == nil {
			k.synced = nil
		}
		k.adopted[name] = now.Add(adoptFor)
	}
}

// ExpectedWait returns the expected wait for short work of a model, and false if there
// is no server for it here.
func (k *Keeper) ExpectedWait(needs string) (time.Duration, bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.wait(needs)
}

func (k *Keeper) wait(needs string) (time.Duration, bool) {
	for _, name := range k.queue.ServerNames() {
		if k.queue.Server(name).Carries[needs] {
			return k.queue.EstimateWait(admission.Item{Needs: needs, Class: admission.Draft, Tokens: 64}), true
		}
	}
	return 0, false
}

// ExpectedWaits returns the expected wait for each thing that a server here carries.
func (k *Keeper) ExpectedWaits() map[string]time.Duration {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.sync(time.Now())
	waits := make(map[string]time.Duration)
	for _, name := range k.queue.ServerNames() {
		for needs := range k.queue.Server(name).Carries {
			if _, ok := waits[needs]; !ok {
				waits[needs], _ = k.wait(needs)
			}
		}
	}
	return waits
}

// dispatch gives free slots to waiting attempts. The caller holds mu.
func (k *Keeper) dispatch(now time.Time) {
	assigned, refused := k.queue.Schedule(now)
	for _, a := range assigned {
		if one := k.waiting[a.Item.ID]; one != nil {
			delete(k.waiting, a.Item.ID)
			one.assigned <- a.Server
		}
	}
	for _, r := range refused {
		if one := k.waiting[r.Item.ID]; one != nil {
			delete(k.waiting, r.Item.ID)
			one.refused <- r
		}
	}
}

// sweep ends abandoned attempts, forgets old answers and expires waiting work.
func (k *Keeper) sweep(now time.Time) {
	view := k.deps.View()
	if view == nil {
		return
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	k.sync(now)
	k.dispatch(now)
	for id, one := range k.attempts {
		state := one.copy.State()
		switch {
		case state.FinishReason == "" && state.Failure == "":
			if one.copy.Abandoned(now.Add(-view.Policy.Grace)) {
				abandonedTotal.Inc()
				one.stop()
			}
		case one.copy.Abandoned(now.Add(-view.Policy.Keep)):
			delete(k.attempts, id)
			if k.latest[one.req.Generation] == one {
				delete(k.latest, one.req.Generation)
			}
		}
	}
}
