// Package forward carries requests of plain services to backend servers. A
// request that may not repeat is sent on only while it is certain that it did
// not run.
package forward

import (
	"context"
	"io"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"wisteriafield/internal/backend/registry"
	"wisteriafield/internal/backend/server"
	"wisteriafield/internal/config/routes"
	"wisteriafield/internal/decision/balance"
	"wisteriafield/internal/decision/link"
)

const (
	maxAnswer = 4 << 20 // bytes of a buffered answer
	// downFor is how long a server that took no connection is avoided.
	downFor = time.Second
	// unansweredFor is the same for one whose connection was not answered.
	unansweredFor = 400 * time.Millisecond
	// fullFor is how long a server that refused for want of room is avoided:
	// about the work of one request.
	fullFor = 30 * time.Millisecond
	// maxRefusals bounds the servers tried in a row that did not run a request.
	maxRefusals = 3
	// hedgeFactor times the goal is when a repeatable request gets a second
	// server; most answers are in by then.
	hedgeFactor = 0.45
	// retryAfter is what a refused caller is told to wait, in seconds.
	retryAfter = "0.05"
)

// Client sends requests to backend servers.
type Client interface {
	Send(ctx context.Context, d server.Dispatch) (*server.Answer, error)
}

// Config is what a forwarder needs.
type Config struct {
	Servers     *registry.Registry
	Client      Client
	RetryBudget interface {
		Allow(service string, now time.Time) bool
	}
	Links  *link.Health
	Domain string // of this router
	Log    *logrus.Entry
}

// Forwarder forwards plain requests.
type Forwarder struct{ cfg Config }

// New returns a forwarder.
func New(cfg Config) *Forwarder { return &Forwarder{cfg: cfg} }

// outcome is what came of one send.
type outcome struct {
	server *registry.Entry
	status int
	header http.Header
	body   []byte
	notRun bool
	err    error
}

// good reports whether the caller should get the answer.
func (o *outcome) good() bool { return o.err == nil && !o.notRun }

// failed reports whether another server may do better.
func (o *outcome) failed() bool {
	return o.err != nil || o.notRun || o.status >= http.StatusInternalServerError
}

// Serve answers a plain request.
func (f *Forwarder) Serve(w http.ResponseWriter, ctx context.Context, req *server.Request, service *routes.Service) {
	ctx, cancel := context.WithDeadline(ctx, req.Deadline)
	defer cancel()
	c := &call{f: f, req: req, service: service, excluded: make(map[server.Key]bool)}
	if req.Route.Repeatable() {
		c.repeatable(ctx)
	} else {
		c.once(ctx)
	}
	c.answer(w, ctx)
}

func (f *Forwarder) choose(service string, excluded map[server.Key]bool) *registry.Entry {
	now := time.Now()
	var entries []*registry.Entry
	var candidates []balance.Service
	for _, e := range f.cfg.Servers.Service(service) {
		if e.Leaving || excluded[e.Key()] {
			continue
		}
		st := e.Load.State(now)
		entries = append(entries, e)
		candidates = append(candidates, balance.Service{
			InFlight: st.InFlight, Slots: e.Slots, Latency: st.Latency, ErrorRate: st.ErrorRate, Down: st.Down, Full: st.Full,
			OtherDomain: e.Domain != f.cfg.Domain, StallRate: f.cfg.Links.StallRate(e.Domain, now),
		})
	}
	i := balance.PickService(candidates, rand.Float64())
	if i < 0 {
		return nil
	}
	return entries[i]
}

// send sends the request once and reads the whole answer.
func (f *Forwarder) send(ctx context.Context, req *server.Request, e *registry.Entry) outcome {
	began := time.Now()
	before := e.Load.State(began)
	e.Load.BeginRequest()
	o := f.exchange(ctx, req, e)
	took := time.Since(began)
	if o.err != nil && ctx.Err() == nil && errors.Is(o.err, server.ErrNotSent) {
		f.noteUnreached(e, errors.Is(o.err, server.ErrConnectTimeout))
	}
	if o.notRun {
		if o.status == http.StatusMisdirectedRequest {
			e.Load.MarkDownLocally(time.Now().Add(downFor))
		} else {
			e.Load.MarkFull(time.Now().Add(fullFor))
		}
		took = 0
	}
	e.Load.EndRequest(took, o.failed() && ctx.Err() == nil)
	sendsTotal(&o).Inc()
	f.cfg.Log.WithField("id", req.ID).WithField("server", e.ID).WithField("status", o.status).
		WithField("notRun", o.notRun).WithField("ms", time.Since(began).Milliseconds()).WithField("config", req.ConfigVersion).WithField("servers", f.cfg.Servers.Revision()).
		WithField("inFlight", before.InFlight).WithField("errors", before.ErrorRate).WithError(o.err).Info("sent")
	return o
}

// noteUnreached avoids a server that took no connection. One that did not answer
// is avoided by this router only, and not for long: a packet may be lost.
func (f *Forwarder) noteUnreached(e *registry.Entry, unanswered bool) {
	now := time.Now()
	if unanswered {
		e.Load.MarkDownByPeer(now.Add(unansweredFor))
		return
	}
	e.Load.MarkDownLocally(now.Add(downFor))
}

func (f *Forwarder) exchange(ctx context.Context, req *server.Request, e *registry.Entry) outcome {
	answer, err := f.cfg.Client.Send(ctx, server.Dispatch{Request: req, Server: &e.Server, LastEventID: req.LastEventID})
	if err != nil {
		return outcome{server: e, err: err}
	}
	defer answer.Body.Close()
	o := outcome{server: e, status: answer.Status, header: answer.Header, notRun: answer.NotExecuted}
	if o.notRun {
		return o
	}
	if answer.Mismatched || answer.Status < http.StatusMultipleChoices && !answer.Signed {
		o.err = errors.Wrap(server.ErrLost, "answer is not the server's")
		return o
	}
	o.body, err = io.ReadAll(io.LimitReader(answer.Body, maxAnswer+1))
	if err != nil || len(o.body) > maxAnswer {
		o.err = errors.Wrap(server.ErrLost, "answer broke off")
	}
	return o
}
