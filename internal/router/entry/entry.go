// Package entry runs the generations of the callers that are connected to this
// router: it chooses keepers, splices the attempts' tokens into one answer,
// resumes after a loss, and holds a copy of every answer.
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
	"wisteriafield/internal/router/stream"
)

const sweepEvery = 500 * time.Millisecond

// Deps is what an entry needs.
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

// Open starts a generation or joins the one that runs for the same key. With an
// event id it goes on with just that generation.
func (e *Entry) Open(ctx context.Context, req Request, last *generation.EventID) (*Generation, error) {
	if last != nil {
		return e.reattach(ctx, req, *last)
	}
	g := e.newGeneration(uuid.NewString(), req)
	if req.Key == "" {
		return e.start(g), nil
	}
	record := e.deps.Directory.Open(ctx, req.directoryKey(), g.record())
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
	e.deps.Directory.Moved(ctx, req.directoryKey(), g.record())
	return e.start(g), nil
}

// reattach finds a copy of the caller's generation that holds its position.
func (e *Entry) reattach(ctx context.Context, req Request, last generation.EventID) (*Generation, error) {
	sources := []string{last.Keeper}
	if req.Key != "" {
		asked := directory.Record{Generation: last.Generation, Digest: req.Digest, Entry: e.deps.Members.Self().Name, Keeper: last.Keeper}
		found := e.deps.Directory.Open(ctx, req.directoryKey(), asked)
		if found.Generation == last.Generation {
			sources = append(sources, found.Keeper, found.Entry)
		}
	}
	return e.join(req, last.Generation, sources, &last)
}

// join returns the generation from this router's own table or from a copy that
// one of the sources holds.
func (e *Entry) join(req Request, id string, sources []string, last *generation.EventID) (*Generation, error) {
	if g := e.find(id); g != nil {
		return g, g.check(req, last)
	}
	err := ErrGone
	tried := make(map[string]bool)
	for _, source := range sources {
		if source == "" || tried[source] {
			continue
		}
		tried[source] = true
		g, joinErr := e.joinFrom(req, id, source, last)
		if joinErr == nil {
			return g, nil
		}
		if joinErr != ErrGone {
			err = joinErr
		}
	}
	return nil, err
}

func (e *Entry) joinFrom(req Request, id, source string, last *generation.EventID) (*Generation, error) {
	st, err := e.follow(source, id, req.Organisation.Name)
	if err != nil {
		return nil, ErrGone
	}
	first, err := st.Next()
	if err != nil || first.Kind != keeper.Prefix {
		st.Close()
		return nil, ErrGone
	}
	if first.Digest != req.Digest {
		st.Close()
		return nil, ErrKeyReused
	}
	req.Version = first.Version
	g, err := e.adopt(req, id, first)
	if err != nil {
		st.Close()
		return nil, ErrGone
	}
	if err := g.check(req, last); err != nil {
		st.Close()
		return nil, err
	}
	if other := e.register(g); other != g {
		st.Close()
		return other, other.check(req, last)
	}
	go g.runFrom(st, source)
	return g, nil
}

// follow opens a copy at a router.
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

// Follow gives this entry's copy of a generation to another router.
func (e *Entry) Follow(id, organisation string) (keeper.Stream, error) {
	g := e.find(id)
	if g == nil || g.Replica.Organisation != organisation {
		return nil, keeper.ErrUnknownGeneration
	}
	return newRelay(g), nil
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

// register puts a generation into the table unless it is there.
func (e *Entry) register(g *Generation) *Generation {
	e.mu.Lock()
	defer e.mu.Unlock()
	if other := e.generations[g.ID]; other != nil {
		return other
	}
	e.generations[g.ID] = g
	return g
}

func (e *Entry) drop(g *Generation) {
	g.cancel()
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.generations[g.ID] == g {
		delete(e.generations, g.ID)
	}
}

// Run cancels generations whose caller is gone and forgets old ones.
func (e *Entry) Run(ctx context.Context) error {
	loop.Every(ctx, sweepEvery, e.sweep)
	return nil
}

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
