// Package relay carries generations from engines to callers. If an engine is
// lost in the middle, the stream goes on at another one, from the copy of the
// run's memory if there is one, within the same answer.
package relay

import (
	"context"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/sirupsen/logrus"

	"wisteriafield/internal/backend/registry"
	"wisteriafield/internal/backend/server"
	"wisteriafield/internal/config/routes"
	"wisteriafield/internal/decision/balance"
	"wisteriafield/internal/decision/link"
	"wisteriafield/internal/decision/suspicion"
	"wisteriafield/internal/router/sessions"
)

const (
	// downFor is how long an engine that did not answer gets no work; a crashed
	// one is back after a second or more, as another incarnation.
	downFor = 2 * time.Second
	// goneFor covers the time that the entry of a dead incarnation stays listed:
	// three heartbeats of some 1.2 s, and the way of the news.
	goneFor = 6 * time.Second
	// fullFor is how long an engine that refused for want of room is avoided.
	fullFor = 300 * time.Millisecond
	// midstreamPause is when to look again for an engine to go on at.
	midstreamPause = 50 * time.Millisecond
	// retryAfter is what a refused caller is told to wait, in seconds. A prompt
	// is read in about a second, so room is there about then.
	retryAfter = "0.5"
)

// Client speaks to backend servers.
type Client interface {
	Send(ctx context.Context, d server.Dispatch) (*server.Answer, error)
	Report(ctx context.Context, address string) (server.Report, error)
	CachedPromptParts(ctx context.Context, address string) ([]server.PromptPart, error)
	CopyKVCache(ctx context.Context, address, run, target string) (string, error)
	DeleteBackup(ctx context.Context, c server.KVBackup) error
}

// Sessions remembers where generations run.
type Sessions interface {
	PutSession(r sessions.Record)
	FindSession(ctx context.Context, session string) (sessions.Record, bool)
}

// Config is what a relay needs.
type Config struct {
	Servers     *registry.Registry
	Client      Client
	RetryBudget interface {
		Allow(service string, now time.Time) bool
	}
	Sessions Sessions
	// OnUnresponsive is called when an engine was found silent, so that peers are told.
	OnUnresponsive func()
	// KnowsLoads reports whether the registry has the work of all routers. Engines
	// are asked for theirs if it has not.
	KnowsLoads func() bool
	Links      *link.Health
	Domain     string // of this router
	Log        *logrus.Entry
}

// Relay runs the generations of this router's callers.
type Relay struct {
	cfg     Config
	limits  suspicion.Timeouts
	nearby  nearby
	surveys surveys
}

// New returns a relay.
func New(cfg Config) *Relay {
	return &Relay{cfg: cfg, limits: suspicion.DefaultTimeouts()}
}

// Serve answers a streaming request.
func (r *Relay) Serve(w http.ResponseWriter, ctx context.Context, req *server.Request, service *routes.Service) {
	ctx, cancel := context.WithDeadline(ctx, req.Deadline)
	defer cancel()
	s := &stream{relay: r, w: w, req: req, service: service, after: req.LastEventID, excluded: make(map[server.Key]bool)}
	if !balance.Feasible(time.Until(req.Deadline), req.PromptTokens, req.MaxOutputTokens, req.LastEventID*s.eventTokens()) {
		s.refuse("too late to finish")
		return
	}
	if req.LastEventID > 0 && req.SessionID() != "" {
		s.recall(ctx)
	}
	s.serve(ctx)
}

// EngineUnresponsive tells the streams of an engine's failure domain that it fell silent.
func (r *Relay) EngineUnresponsive(e *registry.Entry) { r.nearby.tell(e.Domain, time.Now()) }

// candidates returns the engines that may get a request, with what is known of
// their work.
func (r *Relay) candidates(service *routes.Service, excluded map[server.Key]bool) ([]*registry.Entry, []balance.Engine) {
	now := time.Now()
	var entries []*registry.Entry
	var candidates []balance.Engine
	for _, e := range r.cfg.Servers.Service(service.Name) {
		if e.Leaving || excluded[e.Key()] {
			continue
		}
		st := e.Load.State(now)
		c := balance.Engine{
			Domain: e.Domain, Running: st.Running, Slots: e.Slots, QueuedTokens: st.QueuedTokens, UsedTokens: st.UsedTokens,
			OtherDomain: e.Domain != r.cfg.Domain, StallRate: r.cfg.Links.StallRate(e.Domain, now), Pace: st.Pace, ErrorRate: st.ErrorRate, Down: st.Down, Full: st.Full,
		}
		if service.Engine != nil {
			c.Capacity = service.Engine.Memory
		}
		entries = append(entries, e)
		candidates = append(candidates, c)
	}
	return entries, candidates
}

// choice is an engine with what decided for it.
type choice struct {
	entry *registry.Entry
	known balance.Engine
	asked int // engines that were asked for their work
}

// choose picks an engine, or none. Some are asked for their work while that of other
// routers is not known.
func (r *Relay) choose(ctx context.Context, service *routes.Service, req *server.Request, excluded map[server.Key]bool, avoid ...string) choice {
	entries, candidates := r.candidates(service, excluded)
	var c choice
	if service.Engine != nil && !r.cfg.KnowsLoads() {
		sample := balance.SampleEngines(candidates, req.PromptTokens, req.MaxOutputTokens, avoid, rand.Float64(), asked)
		entries, candidates = r.look(ctx, entries, candidates, sample, req.PromptTokens)
		c.asked = len(sample)
	}
	if i := balance.PickEngine(candidates, req.PromptTokens, req.MaxOutputTokens, avoid, rand.Float64()); i >= 0 {
		c.entry, c.known = entries[i], candidates[i]
	}
	return c
}
