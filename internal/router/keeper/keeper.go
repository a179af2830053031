// Package keeper runs attempts on the backend servers that this router manages.
// It has the exact queue of these servers, and a replica of every answer that
// they generate for any entry.
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
	"wisteriafield/internal/router/quarantine"
)

const (
	// adoptionTTL is how long this keeper manages a server of another keeper
	// after an entry named the server in a request.
	adoptionTTL = 30 * time.Second
	// sweepInterval is the time between two searches for abandoned attempts.
	sweepInterval = 500 * time.Millisecond
	// reportInterval is the time between two fetches of the load reports.
	reportInterval = time.Second
)

// Deps holds the dependencies of a Keeper.
type Deps struct {
	Members *members.Members
	Hosts   *hosts.List
	View    func() *document.View // returns nil while no configuration is in effect
	Engines *engine.Client
	Log     *logrus.Entry
	// Quarantine learns which requests may have crashed engines.
	Quarantine *quarantine.Guard
	// ModelVersion returns the version of a model that an engine carries by the
	// order plan.
	ModelVersion func(engine, model string) (version string, ok bool)
	// BetterKeeper returns the keeper with the shortest expected wait for a model
	// key, other than except, or "".
	BetterKeeper func(modelKey string, except string) string
	// Draining reports whether an engine gets no new work by the order plan.
	Draining func(engine string) bool
}

// Keeper is the keeper role of a router.
type Keeper struct {
	deps Deps

	mu           sync.Mutex
	queue        *admission.Queue
	adopted      map[string]time.Time    // servers of other keepers, with the end of their adoption
	waiting      map[string]*attempt     // in the queue, by attempt ID
	attempts     map[string]*attempt     // by attempt ID
	latest       map[string]*attempt     // latest attempt by generation ID
	foreignLoads map[string]*foreignLoad // by server
	syncedView   *document.View
	syncedAt     time.Time
}

// New returns a keeper without servers.
func New(deps Deps) *Keeper {
	return &Keeper{
		deps:         deps,
		queue:        admission.NewQueue(),
		adopted:      make(map[string]time.Time),
		waiting:      make(map[string]*attempt),
		attempts:     make(map[string]*attempt),
		latest:       make(map[string]*attempt),
		foreignLoads: make(map[string]*foreignLoad),
	}
}

// Run ends abandoned attempts and fetches the servers' load reports until ctx
// ends.
func (k *Keeper) Run(ctx context.Context) error {
	sweep := time.NewTicker(sweepInterval)
	defer sweep.Stop()
	reports := time.NewTicker(reportInterval)
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

// sync updates the queue's servers from the document, the host list and the
// placement, at most every 200 ms for the same document. The caller holds mu.
func (k *Keeper) sync(now time.Time) {
	view := k.deps.View()
	if view == nil || view == k.syncedView && now.Sub(k.syncedAt) < 200*time.Millisecond {
		return
	}
	k.syncedView, k.syncedAt = view, now
	oneHop := view.Policy.Routing != document.TwoHop
	managed := make(map[string]bool)
	for i := range view.Engines {
		e := &view.Engines[i]
		if e.Environment != k.deps.Members.Self().Environment {
			continue
		}
		managedHere := oneHop || k.deps.Members.Keeper(e.Name, e.Region, now) == k.deps.Members.Self().Name
		if !managedHere && now.After(k.adopted[e.Name]) {
			continue
		}
		managed[e.Name] = true
		k.queue.PutServer(k.queueServer(view, e))
	}
	for _, name := range k.queue.ServerNames() {
		if !managed[name] {
			k.queue.RemoveServer(name)
			delete(k.foreignLoads, name)
		}
	}
	k.queue.Chooser = newChooser(view.Policy)
}

// queueServer returns an engine as the queue needs it, with the keys of all model
// versions and adapters that it carries.
func (k *Keeper) queueServer(view *document.View, e *document.Engine) admission.Server {
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
	return admission.Server{Name: e.Name, Slots: e.Slots, Speed: e.Speed, Carries: carries, Leaving: k.isLeaving(e.Name)}
}

// isLeaving is Leaves for callers that hold mu.
func (k *Keeper) isLeaving(name string) bool {
	if k.deps.Draining(name) {
		return true
	}
	if h, ok := k.deps.Hosts.Host(name); ok && h.State == hosts.Leaving {
		return true
	}
	load := k.foreignLoads[name]
	return load != nil && load.leaving
}

// adopt adds servers that an entry expects this keeper to manage, for
// adoptionTTL. The caller holds mu.
func (k *Keeper) adopt(names []string, now time.Time) {
	for _, name := range names {
		if k.queue.Server(name) == nil {
			k.syncedView = nil
		}
		k.adopted[name] = now.Add(adoptionTTL)
	}
}

// ExpectedWait returns the expected wait of a draft of 64 tokens for a model key,
// and false if no server of this keeper carries the key.
func (k *Keeper) ExpectedWait(modelKey string) (time.Duration, bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.expectedWait(modelKey)
}

// expectedWait is ExpectedWait for callers that hold mu.
func (k *Keeper) expectedWait(modelKey string) (time.Duration, bool) {
	for _, name := range k.queue.ServerNames() {
		if k.queue.Server(name).Carries[modelKey] {
			return k.queue.EstimateWait(admission.Item{ModelKey: modelKey, Class: admission.Draft, Tokens: 64}), true
		}
	}
	return 0, false
}

// ExpectedWaits returns the expected wait for each model key that a server of
// this keeper carries.
func (k *Keeper) ExpectedWaits() map[string]time.Duration {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.sync(time.Now())
	waits := make(map[string]time.Duration)
	for _, name := range k.queue.ServerNames() {
		for modelKey := range k.queue.Server(name).Carries {
			if _, ok := waits[modelKey]; !ok {
				waits[modelKey], _ = k.expectedWait(modelKey)
			}
		}
	}
	return waits
}

// dispatch assigns free slots to waiting attempts and refuses those that
// expired. The caller holds mu.
func (k *Keeper) dispatch(now time.Time) {
	assigned, refused := k.queue.Schedule(now)
	for _, assignment := range assigned {
		if a := k.waiting[assignment.Item.ID]; a != nil {
			delete(k.waiting, assignment.Item.ID)
			a.assigned <- assignment.Server
		}
	}
	for _, refusal := range refused {
		if a := k.waiting[refusal.Item.ID]; a != nil {
			delete(k.waiting, refusal.Item.ID)
			a.refused <- refusal
		}
	}
}

// sweep stops attempts that had no reader for the grace period, deletes answers
// that had none for the keep period, and expires waiting work.
func (k *Keeper) sweep(now time.Time) {
	view := k.deps.View()
	if view == nil {
		return
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	k.sync(now)
	k.dispatch(now)
	for id, a := range k.attempts {
		state := a.replica.State()
		switch {
		case state.FinishReason == "" && state.Failure == "":
			if a.replica.Abandoned(now.Add(-view.Policy.Grace)) {
				abandonedTotal.Inc()
				a.stop()
			}
		case a.replica.Abandoned(now.Add(-view.Policy.Keep)):
			delete(k.attempts, id)
			if k.latest[a.req.Generation] == a {
				delete(k.latest, a.req.Generation)
			}
		}
	}
}
