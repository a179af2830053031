// Package entry runs the generations of the callers that are connected to this
// router: it chooses keepers, joins the tokens of the attempts into one answer,
// resumes after a loss, and holds a replica of every answer.
package entry

import (
	"context"
	"sync"
	"time"

	"github.com/google/uuid"
	"github.com/sirupsen/logrus"

	"wisteriafield/internal/base/loop"
	"wisteriafield/internal/config/document"
	"wisteriafield/internal/decision/generation"
	"wisteriafield/internal/platform/hosts"
	"wisteriafield/internal/router/directory"
	"wisteriafield/internal/router/keeper"
	"wisteriafield/internal/router/members"
	"wisteriafield/internal/router/quarantine"
	"wisteriafield/internal/router/stream"
)

// sweepInterval is the time between two searches for generations without a caller.
const sweepInterval = 500 * time.Millisecond

// Deps holds the dependencies of an Entry.
type Deps struct {
	Members       *members.Members
	Hosts         *hosts.List
	View          func() *document.View
	ModelVersion  func(engine, model string) (version string, ok bool)
	Draining      func(engine string) bool
	LocalKeeper   *keeper.Keeper
	RemoteKeepers *stream.Client
	Directory     *directory.Directory
	Waits         *WaitTable
	Quarantine    *quarantine.Guard // knows which requests crash engines
	Log           *logrus.Entry
}

// Entry is the entry role of a router.
type Entry struct {
	deps Deps

	mu          sync.Mutex
	generations map[string]*Generation
}

// New returns an entry without generations.
func New(deps Deps) *Entry {
	return &Entry{deps: deps, generations: make(map[string]*Generation)}
}

// Open starts a generation, or joins the one that exists for the same idempotency
// key. With an event ID it joins that generation and starts no other.
func (e *Entry) Open(ctx context.Context, req Request, lastEvent *generation.EventID) (*Generation, error) {
	if lastEvent != nil {
		return e.reattach(ctx, req, *lastEvent)
	}
	g := e.newGeneration(uuid.NewString(), req)
	if req.Key == "" {
		return e.start(g), nil
	}
	record := e.deps.Directory.FindOrRegister(ctx, req.directoryKey(), g.directoryRecord())
	if record.Generation == g.ID {
		return e.start(g), nil
	}
	if record.Digest != req.Digest {
		e.drop(g)
		return nil, ErrKeyReused
	}
	if joined, err := e.join(req, record.Generation, []string{record.Entry, record.Keeper}, nil); err == nil {
		e.drop(g)
		return joined, nil
	}
	e.deps.Directory.Update(ctx, req.directoryKey(), g.directoryRecord())
	return e.start(g), nil
}

// reattach joins a replica of the caller's generation that holds the caller's
// position.
func (e *Entry) reattach(ctx context.Context, req Request, lastEvent generation.EventID) (*Generation, error) {
	sources := []string{lastEvent.Keeper}
	if req.Key != "" {
		proposed := directory.Record{Generation: lastEvent.Generation, Digest: req.Digest, Entry: e.deps.Members.Self().Name, Keeper: lastEvent.Keeper}
		found := e.deps.Directory.FindOrRegister(ctx, req.directoryKey(), proposed)
		if found.Generation == lastEvent.Generation {
			sources = append(sources, found.Keeper, found.Entry)
		}
	}
	return e.join(req, lastEvent.Generation, sources, &lastEvent)
}

// join returns the generation from this router's table, or builds it from the
// replica of the first source that has one.
func (e *Entry) join(req Request, id string, sources []string, lastEvent *generation.EventID) (*Generation, error) {
	if g := e.find(id); g != nil {
		return g, g.checkCaller(req, lastEvent)
	}
	err := ErrGone
	tried := make(map[string]bool)
	for _, source := range sources {
		if source == "" || tried[source] {
			continue
		}
		tried[source] = true
		g, joinErr := e.joinFrom(req, id, source, lastEvent)
		if joinErr == nil {
			return g, nil
		}
		if joinErr != ErrGone {
			err = joinErr
		}
	}
	return nil, err
}

// joinFrom builds a generation from the replica of a router and registers it.
func (e *Entry) joinFrom(req Request, id, source string, lastEvent *generation.EventID) (*Generation, error) {
	events, err := e.follow(source, id, req.Organisation.Name)
	if err != nil {
		return nil, ErrGone
	}
	firstEvent, err := events.Next()
	if err != nil || firstEvent.Kind != keeper.Prefix {
		events.Close()
		return nil, ErrGone
	}
	if firstEvent.Digest != req.Digest {
		events.Close()
		return nil, ErrKeyReused
	}
	req.Version = firstEvent.Version
	g, err := e.adoptReplica(req, id, firstEvent)
	if err != nil {
		events.Close()
		return nil, ErrGone
	}
	if err := g.checkCaller(req, lastEvent); err != nil {
		events.Close()
		return nil, err
	}
	if other := e.register(g); other != g {
		events.Close()
		return other, other.checkCaller(req, lastEvent)
	}
	go g.runFromReplica(events, source)
	return g, nil
}

// follow opens a stream on the replica of a router.
func (e *Entry) follow(source, id, organisation string) (keeper.Stream, error) {
	if source == e.deps.Members.Self().Name {
		return e.deps.LocalKeeper.Follow(id, organisation)
	}
	h, ok := e.deps.Members.Host(source)
	if !ok {
		return nil, ErrGone
	}
	return e.deps.RemoteKeepers.Follow(h.PeerAddress, id, organisation)
}

// Follow returns a stream on this entry's replica of a generation, for another
// router.
func (e *Entry) Follow(id, organisation string) (keeper.Stream, error) {
	g := e.find(id)
	if g == nil || g.Replica.Organisation != organisation {
		return nil, keeper.ErrUnknownGeneration
	}
	return newReader(g), nil
}

func (e *Entry) start(g *Generation) *Generation {
	go g.run()
	return g
}

func (e *Entry) find(id string) *Generation {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.generations[id]
}

// register adds a generation to the table, or returns the one that is there.
func (e *Entry) register(g *Generation) *Generation {
	e.mu.Lock()
	defer e.mu.Unlock()
	if other := e.generations[g.ID]; other != nil {
		return other
	}
	e.generations[g.ID] = g
	return g
}

// drop cancels a generation and deletes it from the table.
func (e *Entry) drop(g *Generation) {
	g.cancel()
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.generations[g.ID] == g {
		delete(e.generations, g.ID)
	}
}

// Run cancels generations whose caller disconnected and deletes old ones.
func (e *Entry) Run(ctx context.Context) error {
	loop.Every(ctx, sweepInterval, e.sweep)
	return nil
}

// sweep drops generations without readers: after the grace period while they run,
// after the keep period once they ended, and at once without an idempotency key.
func (e *Entry) sweep(now time.Time) {
	view := e.deps.View()
	if view == nil {
		return
	}
	for _, g := range e.all() {
		grace := view.Policy.Grace
		if g.req.Key == "" {
			grace = 0
		}
		if g.Ended() {
			grace = view.Policy.Keep
			if g.req.Key == "" {
				grace = 0
			}
		}
		if g.Replica.Abandoned(now.Add(-grace)) {
			e.drop(g)
		}
	}
	e.deps.Waits.Sweep(now)
}

func (e *Entry) all() []*Generation {
	e.mu.Lock()
	defer e.mu.Unlock()
	all := make([]*Generation, 0, len(e.generations))
	for _, g := range e.generations {
		all = append(all, g)
	}
	return all
}

// Running returns the number of generations that have not ended.
func (e *Entry) Running() int {
	var n int
	for _, g := range e.all() {
		if !g.Ended() {
			n++
		}
	}
	return n
}
