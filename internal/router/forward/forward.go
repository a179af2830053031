// Package forward forwards requests to services, the backend servers that are not
// engines. A non-idempotent request is retried only while it is certain that no server
// has executed it.
package forward

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"wisteriafield/internal/backend/answerbody"
	"wisteriafield/internal/backend/registry"
	"wisteriafield/internal/backend/server"
	"wisteriafield/internal/config/routes"
	"wisteriafield/internal/decision/answermemory"
	"wisteriafield/internal/decision/balance"
	"wisteriafield/internal/decision/link"
	"wisteriafield/internal/router/quarantine"
)

const (
	maxAnswerBytes = 4 << 20 // of a buffered answer
	// unreachableBackoff is how long a server is avoided that could not be connected
	// to, or whose address another server has taken.
	unreachableBackoff = time.Second
	// unansweredBackoff is how long a server that did not answer the connection
	// attempt is avoided. It is shorter, since a packet may have been lost.
	unansweredBackoff = 400 * time.Millisecond
	// fullBackoff is how long a server that refused for lack of capacity is avoided:
	// about the time that one request takes.
	fullBackoff = 30 * time.Millisecond
	// maxRefusals bounds the attempts of one request that no server executed.
	maxRefusals = 3
	// crashSpread is by how much longer than the first server another one may run a request
	// before it crashes as well.
	crashSpread = 200 * time.Millisecond
	// hedgeDelayFactor times the route's latency target is the delay after which an
	// idempotent request is hedged at a second server; most answers have arrived by
	// then.
	hedgeDelayFactor = 0.45
	// minRetryAfter is the least Retry-After of a refused request.
	minRetryAfter = 50 * time.Millisecond
)

// Client sends requests to backend servers.
type Client interface {
	Send(ctx context.Context, d server.Dispatch) (*server.Answer, error)
	// Listens reports whether a process accepts connections at an address and keeps them open. The
	// error says that this is not known; it is liveness.ErrClosed if they are closed at once.
	Listens(ctx context.Context, address string) (bool, error)
}

// Config holds the dependencies of a Forwarder.
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
	Quarantine interface {
		Refuses(req *server.Request) (until time.Time, refused bool)
		SparesLastServer(req *server.Request, usable func() []string) bool
		ServerLost(req *server.Request, s *server.Server, events int)
		ServerFinished(req *server.Request)
		AttemptAbandoned(req *server.Request, s *server.Server, events int)
		AnswerBrokenOff(req *server.Request, s *server.Server, end quarantine.BrokenOff)
	}
	Limits interface {
		ObserveAnswer(s *server.Server, a *server.Answer, sentAt time.Time)
		Take(s *server.Server) bool
		NextAt(s *server.Server, now time.Time) time.Time
	}
	Memory *answermemory.Budget // of the answers
	Links  *link.Health
	Domain string // failure domain of this router
	Log    *logrus.Entry
}

// Forwarder forwards requests to services that have no engines.
type Forwarder struct{ cfg Config }

// New returns a forwarder.
func New(cfg Config) *Forwarder { return &Forwarder{cfg: cfg} }

// result is the result of one attempt.
type result struct {
	server      *registry.Entry
	startedAt   time.Time
	retry       bool // within the retry budget
	status      int
	header      http.Header
	body        *answerbody.Body // nil without a complete one
	notExecuted bool
	rateLimit   float64
	limited     bool // the server named a rateLimit
	crashed     bool // the server is gone
	check       check
	err         error
}

// hasAnswer reports whether there is an answer for the caller, which may be the
// server's own error.
func (r *result) hasAnswer() bool { return r.err == nil && !r.notExecuted }

// failed reports whether the attempt failed, so that another server may succeed.
func (r *result) failed() bool {
	return r.err != nil || r.notExecuted || r.status >= http.StatusInternalServerError
}

// Serve forwards a request to a server of the service and writes the answer.
func (f *Forwarder) Serve(w http.ResponseWriter, ctx context.Context, req *server.Request, service *routes.Service) {
	ctx, cancel := context.WithDeadline(ctx, req.AnswerBy())
	defer cancel()
	c := &call{f: f, req: req, service: service, excluded: make(map[server.Key]bool)}
	until, quarantined := f.cfg.Quarantine.Refuses(req)
	if quarantined {
		c.blocked = until
	} else if req.Route.Retryable() {
		c.runIdempotent(ctx)
	} else {
		c.runNonIdempotent(ctx)
	}
	c.returnRetries()
	c.writeAnswer(w, ctx)
	c.best.body.Release()
}

// candidates returns the servers that are neither leaving nor excluded and may get a request.
func (f *Forwarder) candidates(service string, excluded map[server.Key]bool) []*registry.Entry {
	var entries []*registry.Entry
	now := time.Now()
	for _, e := range f.cfg.Servers.Service(service) {
		if e.Leaving || excluded[e.Key()] {
			continue
		}
		if next := f.cfg.Limits.NextAt(&e.Server, now); next.IsZero() || next.After(now) {
			continue
		}
		entries = append(entries, e)
	}
	return entries
}

// choose picks one of the candidates, or nil if there is none for the request.
func (f *Forwarder) choose(req *server.Request, service string, excluded map[server.Key]bool) *registry.Entry {
	entries := f.candidates(service, excluded)
	now := time.Now()
	if len(entries) > 0 && f.cfg.Quarantine.SparesLastServer(req, func() []string { return f.cfg.Servers.Usable(service, now) }) {
		return nil
	}
	var candidates []balance.Service
	for _, e := range entries {
		st := e.Load.State(now)
		candidates = append(candidates, balance.Service{
			InFlight: st.InFlight, Slots: e.Slots, Latency: st.Latency, ErrorRate: st.ErrorRate, Down: st.Down, Full: st.Full,
			OtherDomain: e.Domain != f.cfg.Domain, StallRate: f.cfg.Links.StallRate(e.Domain, now),
		})
	}
	for {
		i := balance.PickService(candidates, rand.Float64())
		if i < 0 {
			return nil
		}
		if f.cfg.Limits.Take(&entries[i].Server) {
			return entries[i]
		}
		// Another request has just taken this router's part of the limit.
		entries, candidates = slices.Delete(entries, i, i+1), slices.Delete(candidates, i, i+1)
	}
}

// nextAt returns when the first server of a service may get a request, or the zero time if
// none may. Servers that refused for lack of capacity may get one now.
func (f *Forwarder) nextAt(service string, now time.Time) time.Time {
	var first time.Time
	for _, e := range f.cfg.Servers.Service(service) {
		next := f.cfg.Limits.NextAt(&e.Server, now)
		if !e.Leaving && !next.IsZero() && (first.IsZero() || next.Before(first)) {
			first = next
		}
	}
	return first
}

// runAttempt sends the request to a server, reads the complete answer and updates
// the server's load.
func (f *Forwarder) runAttempt(ctx context.Context, req *server.Request, e *registry.Entry, retry bool) result {
	startedAt := time.Now()
	load := e.Load.State(startedAt)
	e.Load.BeginRequest()
	r := f.exchange(ctx, req, e)
	r.startedAt, r.retry = startedAt, retry
	latency := time.Since(startedAt)
	if r.err != nil && ctx.Err() == nil && errors.Is(r.err, server.ErrNotSent) {
		f.recordUnreachable(e, errors.Is(r.err, server.ErrConnectTimeout))
	}
	if r.notExecuted {
		if r.status == http.StatusMisdirectedRequest {
			e.Load.MarkDownAndShare(time.Now().Add(unreachableBackoff))
		} else {
			e.Load.MarkFull(time.Now().Add(fullBackoff))
		}
		latency = 0
	}
	e.Load.EndRequest(latency, r.failed() && ctx.Err() == nil)
	attemptsTotal(&r).Inc()
	f.cfg.Log.WithField("id", req.ID).WithField("digest", req.Digest).WithField("server", e.ID).WithField("status", r.status).
		WithField("stopped", stopCause(ctx)).WithField("notRun", r.notExecuted).WithField("ms", time.Since(startedAt).Milliseconds()).WithField("config", req.ConfigVersion).WithField("servers", f.cfg.Servers.Position().Revision).WithField("era", f.cfg.Servers.Position().Era).
		WithField("inFlight", load.InFlight).WithField("errors", load.ErrorRate).WithField("limited", r.limited).WithField("limit", r.rateLimit).WithField("retry", retry).WithField("crashed", r.crashed).WithField("check", string(r.check)).WithError(r.err).Info("attempt ended")
	return r
}

// stopCause returns why this router stopped waiting for an attempt, or nil.
func stopCause(ctx context.Context) error {
	if ctx.Err() == nil {
		return nil
	}
	return context.Cause(ctx)
}

// recordUnreachable makes the router avoid a server that could not be connected to, and
// notifies the peers. A server that did not answer the connection attempt is avoided by
// this router only, and for less time: a packet may have been lost.
func (f *Forwarder) recordUnreachable(e *registry.Entry, unanswered bool) {
	now := time.Now()
	if unanswered {
		e.Load.MarkDown(now.Add(unansweredBackoff))
		return
	}
	e.Load.MarkDownAndShare(now.Add(unreachableBackoff))
}

// exchange sends the request and reads the complete answer.
func (f *Forwarder) exchange(ctx context.Context, req *server.Request, e *registry.Entry) result {
	sentAt := time.Now()
	sendCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	dispatch := server.Dispatch{Request: req, Server: &e.Server, LastEventID: req.LastEventID}
	if req.Route.Retryable() {
		dispatch.MayRepeat = func() bool { return f.cfg.RetryBudget.Allow(e.Service, time.Now()) }
	}
	answer, err := f.cfg.Client.Send(sendCtx, dispatch)
	if err != nil {
		r := result{server: e, err: err}
		if errors.Is(err, server.ErrLost) {
			r.crashed, r.check = f.crashed(ctx, req, e)
		}
		return r
	}
	f.cfg.Limits.ObserveAnswer(&e.Server, answer, sentAt)
	if answer.Genuine() {
		e.Load.RecordAnswer(time.Now())
	} else if !answer.NotExecuted {
		f.cfg.Quarantine.AnswerBrokenOff(req, &e.Server, quarantine.BrokenOff{At: time.Now()})
	}
	defer answer.Body.Close()
	r := result{server: e, status: answer.Status, header: answer.Header, notExecuted: answer.NotExecuted, rateLimit: answer.RateLimit, limited: answer.Limited}
	if r.notExecuted {
		return r
	}
	if answer.Mismatched || answer.Status < http.StatusMultipleChoices && !answer.Signed {
		r.err = errors.Wrap(server.ErrLost, "answer is unsigned or belongs to another request")
		return r
	}
	if answer.Unproven() {
		r.err = errors.Wrap(server.ErrLost, "server does not state that it did not execute the request")
		return r
	}
	r.body, err = answerbody.Read(answer.Body, maxAnswerBytes, f.cfg.Memory, cancel)
	switch {
	case err == nil || errors.Is(err, answerbody.ErrTooLarge):
		if answer.Genuine() {
			f.cfg.Quarantine.ServerFinished(req)
		}
	case errors.Is(err, answermemory.ErrExhausted): // this router has broken it off
		f.cfg.Quarantine.AttemptAbandoned(req, &e.Server, 0)
	default:
		r.crashed, r.check = f.crashed(ctx, req, e)
	}
	if err != nil {
		r.err = fmt.Errorf("answer has no end: %v: %w", err, server.ErrLost)
	}
	return r
}
