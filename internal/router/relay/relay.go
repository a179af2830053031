// Package relay forwards event streams from engines to callers. If an engine is
// lost in the middle of a stream, the stream is resumed on another engine within the
// same answer, from the backup of the attempt's KV cache if there is one.
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
	"wisteriafield/internal/decision/answermemory"
	"wisteriafield/internal/decision/balance"
	"wisteriafield/internal/decision/enginetable"
	"wisteriafield/internal/decision/link"
	"wisteriafield/internal/decision/suspicion"
	"wisteriafield/internal/router/quarantine"
	"wisteriafield/internal/router/sessions"
)

const (
	// unresponsiveBackoff is how long an unresponsive engine gets no work. A crashed
	// engine is back after a second or more, as another incarnation.
	unresponsiveBackoff = 2 * time.Second
	// replacedBackoff is how long an incarnation is avoided whose address another one
	// has. It covers the time that the entry of the dead incarnation stays listed, three
	// heartbeats of about 1.2 s, and the propagation of its removal.
	replacedBackoff = 6 * time.Second
	// fullBackoff is how long an engine that refused for lack of capacity is avoided.
	fullBackoff = 300 * time.Millisecond
	// midstreamRetryDelay is the time between two searches for an engine to resume a
	// stream on, after a search that found none.
	midstreamRetryDelay = 50 * time.Millisecond
	// capacityDelay is after which time a request that engines refused for lack of capacity
	// may come back. An engine prefills a prompt in about a second, so capacity becomes
	// free about then.
	capacityDelay = 500 * time.Millisecond
)

// Client sends requests to backend servers and reads the state of engines.
type Client interface {
	Send(ctx context.Context, d server.Dispatch) (*server.Answer, error)
	Report(ctx context.Context, address string) (server.Report, error)
	CachedPromptParts(ctx context.Context, address string) ([]server.PromptPart, error)
	CopyKVCache(ctx context.Context, address, attemptID, target string) (string, error)
	DeleteBackup(ctx context.Context, backup server.KVBackup) error
	// Listens reports whether a process accepts connections at an address and keeps them open. The
	// error says that this is not known; it is liveness.ErrClosed if they are closed at once.
	Listens(ctx context.Context, address string) (bool, error)
}

// Sessions stores and finds session records.
type Sessions interface {
	PutSession(r sessions.Record)
	FindSession(ctx context.Context, request string) (sessions.Record, bool)
}

// Quarantine keeps requests away from engines that crash them.
type Quarantine interface {
	Refuses(req *server.Request) (until time.Time, refused bool)
	SparesLastServer(req *server.Request, usable func() []string) bool
	ServerLost(req *server.Request, s *server.Server, events int)
	ServerLostUnanswered(req *server.Request, s *server.Server)
	ServerAnswered(req *server.Request, events int)
	ServerFinished(req *server.Request)
	AttemptAbandoned(req *server.Request, s *server.Server, events int)
	AnswerBrokenOff(req *server.Request, s *server.Server, end quarantine.BrokenOff)
}

// Limits are what engines ask of routers: the limits that they name, and no requests if they
// leave or want none for a time.
type Limits interface {
	ObserveAnswer(s *server.Server, a *server.Answer, sentAt time.Time)
	Take(s *server.Server) bool
	NextAt(s *server.Server, now time.Time) time.Time
	Allows(s *server.Server, now time.Time) bool
	Paused(s *server.Server, now time.Time) bool
	Limited(s *server.Server, now time.Time) bool
}

// Config holds the settings and dependencies of a Relay.
type Config struct {
	Servers     *registry.Registry
	Client      Client
	RetryBudget interface {
		Allow(service string, now time.Time) bool
		NextAt(service string, now time.Time) time.Time
		Return(service string, takenAt, now time.Time)
	}
	// Borrow has peers asked for n retries of a service, which the budget then allows for a moment.
	// The channel is closed when some have arrived, or none will. Borrow may be nil.
	Borrow     func(service string, n int) <-chan struct{}
	Sessions   Sessions
	Quarantine Quarantine
	Limits     Limits
	Memory     *answermemory.Budget // of the answers
	// OnUnresponsive is called when this router found an engine unresponsive, so that
	// peers are notified.
	OnUnresponsive func()
	// KnowsLoads reports whether the registry has the loads that all routers put on the
	// engines. If not, some engines are probed for their load before one is chosen.
	KnowsLoads func() bool
	// Placement finds engines where the loads are not known, without probes; nil to probe always.
	Placement Placement
	Links     *link.Health
	Domain    string // failure domain of this router
	Log       *logrus.Entry
}

// Relay serves the streams of this router's callers.
type Relay struct {
	cfg          Config
	timeouts     suspicion.Timeouts
	listeners    domainListeners
	domainChecks domainChecks
	retryQueue   retryQueue
}

// New returns a relay.
func New(cfg Config) *Relay {
	return &Relay{cfg: cfg, timeouts: suspicion.DefaultTimeouts()}
}

// Serve answers a streaming request. It refuses a request that cannot be completed
// before its deadline.
func (r *Relay) Serve(w http.ResponseWriter, ctx context.Context, req *server.Request, service *routes.Service) {
	ctx, end := context.WithCancelCause(ctx)
	defer end(nil)
	ctx, cancel := context.WithDeadline(ctx, req.Deadline)
	defer cancel()
	s := &stream{relay: r, w: w, req: req, service: service, lastEventID: req.LastEventID, excluded: make(map[server.Key]bool), momentary: make(map[server.Key]bool)}
	s.answerTimer = time.AfterFunc(time.Until(req.AnswerBy()), func() { end(context.DeadlineExceeded) })
	defer s.answerTimer.Stop()
	if !balance.Feasible(time.Until(req.Deadline), req.PromptTokens, req.MaxOutputTokens, req.LastEventID*s.eventTokens()) {
		s.refuse("too late to finish")
		return
	}
	if s.refusedByQuarantine(ctx) {
		return
	}
	if req.LastEventID > 0 && req.SessionID() != "" {
		s.restoreSession(ctx)
	}
	s.serve(ctx)
}

// EngineUnresponsive makes the streams that run in an engine's failure domain probe
// their own engines at once, since the engine was found unresponsive.
func (r *Relay) EngineUnresponsive(e *registry.Entry) { r.listeners.notify(e.Domain, time.Now()) }

// candidates returns the engines that may serve a request, with their load as far as
// this router knows it.
func (r *Relay) candidates(service *routes.Service, excluded map[server.Key]bool) ([]*registry.Entry, []balance.Engine) {
	now := time.Now()
	var entries []*registry.Entry
	var candidates []balance.Engine
	for _, e := range r.cfg.Servers.Service(service.Name) {
		if e.Leaving || excluded[e.Key()] || !r.cfg.Limits.Allows(&e.Server, now) {
			continue
		}
		st := e.Load.State(now)
		c := balance.Engine{
			Domain: e.Domain, Running: st.Running, Slots: e.Slots, QueuedTokens: st.QueuedTokens, UsedTokens: st.UsedTokens,
			OtherDomain: e.Domain != r.cfg.Domain, StallRate: r.cfg.Links.StallRate(e.Domain, now), Pace: st.Pace, ErrorRate: st.ErrorRate, Down: st.Down, Full: st.Full,
			Reserved: st.Running == 0 && r.cfg.Limits.Limited(&e.Server, now),
		}
		if service.Engine != nil {
			c.Capacity = service.Engine.MemoryTokens
		}
		entries = append(entries, e)
		candidates = append(candidates, c)
	}
	return entries, candidates
}

// choice is a chosen engine, with the data that it was chosen by.
type choice struct {
	entry     *registry.Entry
	candidate balance.Engine
	probed    int // engines that were probed for their load
	owners    int // owners that answered
	// backupProbed is how many engines were probed to choose the backup's.
	backupProbed int
	offers       []enginetable.Offer
	offer        enginetable.Offer // of the engine; empty if it was probed
}

// choose picks an engine; the choice has no entry if none can be used. While the loads
// of other routers are not known, owners are asked for engines or, without a usable offer, some
// engines are probed for their load first.
func (r *Relay) choose(ctx context.Context, service *routes.Service, req *server.Request, excluded map[server.Key]bool, avoid ...string) choice {
	entries, candidates := r.candidates(service, excluded)
	var c choice
	if service.Engine != nil && !r.cfg.KnowsLoads() {
		if c = r.chooseOffered(ctx, service, req, entries, candidates, avoid); c.entry != nil {
			return c
		}
		if r.cfg.Placement != nil {
			probedInsteadTotal.Inc()
		}
		sample := balance.SampleEngines(candidates, req.PromptTokens, req.MaxOutputTokens, avoid, rand.Float64(), loadProbeCount)
		entries, candidates = r.probeLoads(ctx, entries, candidates, sample, req.PromptTokens)
		c.probed = len(sample)
	}
	if i := balance.PickEngine(candidates, req.PromptTokens, req.MaxOutputTokens, avoid, rand.Float64()); i >= 0 {
		c.entry, c.candidate = entries[i], candidates[i]
	}
	return c
}
