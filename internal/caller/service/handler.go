// Package service forwards callers' requests to services. Calls that the
// document declares idempotent may be hedged and retried; all others run at most
// once.
package service

import (
	"context"
	"net/http"
	"strings"
	"time"

	"github.com/sirupsen/logrus"

	backend "wisteriafield/internal/backend/service"
	"wisteriafield/internal/base/loop"
	"wisteriafield/internal/caller/apierror"
	"wisteriafield/internal/caller/openai"
	"wisteriafield/internal/config/document"
	"wisteriafield/internal/decision/answermemory"
	"wisteriafield/internal/decision/claim"
	"wisteriafield/internal/platform/hosts"
	"wisteriafield/internal/router/quarantine"
)

// Deps holds the dependencies of a Handler.
type Deps struct {
	View          func() *document.View
	Hosts         *hosts.List
	NonIdempotent *NonIdempotentRunner
	Quarantine    *quarantine.Guard    // knows which calls crash servers
	AnswerMemory  *answermemory.Budget // of the services' answers until they are written
	Log           *logrus.Entry
	Bodies        openai.Bodies
}

// Handler serves the paths under /services/.
type Handler struct {
	deps    Deps
	client  *backend.Client
	servers *serverTracker
}

// New returns a handler. It also makes the handler send the calls of
// deps.NonIdempotent.
func New(deps Deps) *Handler {
	h := &Handler{deps: deps, client: backend.New(deps.AnswerMemory), servers: newServerTracker()}
	deps.NonIdempotent.send = h.sendNonIdempotent
	return h
}

// Register adds the handler's routes to mux.
func (h *Handler) Register(mux *http.ServeMux) {
	mux.HandleFunc("/services/{name}/{path...}", h.serve)
}

func (h *Handler) serve(w http.ResponseWriter, r *http.Request) {
	view := h.deps.View()
	if view == nil {
		apierror.NewRetryable(apierror.NotRun, "no configuration yet", time.Now().Add(time.Second)).Write(w)
		return
	}
	o, refusal := openai.Authenticate(view, r)
	if refusal != nil {
		refusal.Write(w)
		return
	}
	s := view.Service(r.PathValue("name"))
	if s == nil || !document.Allows(o.Services, s.Name) {
		apierror.New(apierror.ServiceNotFound, "no such service").Write(w)
		return
	}
	body, refusal := h.deps.Bodies.Read(w, r)
	if refusal != nil {
		refusal.Write(w)
		return
	}
	defer body.Release()
	call := newCall(r, body.Bytes())
	path, _, _ := strings.Cut(call.Target, "?")
	if s.IsIdempotent(r.Method, path) {
		ctx, cancel := context.WithTimeout(r.Context(), s.Timeout)
		defer cancel()
		h.serveIdempotent(ctx, w, view, o, s, call)
		return
	}
	// A non-idempotent call is not cancelled when its caller disconnects: its
	// outcome is recorded for the caller's retry.
	ctx, cancel := context.WithTimeout(context.WithoutCancel(r.Context()), s.Timeout)
	defer cancel()
	h.serveNonIdempotent(ctx, w, o, s, r.Header.Get("Idempotency-Key"), call)
}

func newCall(r *http.Request, body []byte) backend.Call {
	target := "/" + r.PathValue("path")
	if r.URL.RawQuery != "" {
		target += "?" + r.URL.RawQuery
	}
	header := make(http.Header)
	for _, name := range []string{"Content-Type", "Accept", "Accept-Language", "Idempotency-Key"} {
		if v := r.Header.Get(name); v != "" {
			header.Set(name, v)
		}
	}
	return backend.Call{Method: r.Method, Target: target, Header: header, Body: body}
}

// serveNonIdempotent runs a call at most once for each Idempotency-Key.
func (h *Handler) serveNonIdempotent(ctx context.Context, w http.ResponseWriter, o *document.Organisation, s *document.Service, key string, call backend.Call) {
	now := time.Now()
	k, err := claim.CheckKey(key, now)
	if err != nil {
		apierror.New(apierror.BadRequest, "this call needs an Idempotency-Key: "+err.Error()).Write(w)
		return
	}
	if !k.MayBeClaimed(now) {
		apierror.NewRetryable(apierror.NotRun, "the time in the Idempotency-Key is ahead; the call was not run", k.UsableAt).Write(w)
		return
	}
	if !loop.SleepUntil(ctx, k.UsableAt) {
		unknownOutcome().write(w)
		return
	}
	result := h.deps.NonIdempotent.Do(ctx, nonIdempotentRequest{
		Organisation: o.Name,
		Key:          claim.StoreKey(o.Name, key, k.ExpiresAt),
		Digest:       digestOf(s, call),
		ExpiresAt:    k.ExpiresAt,
		Service:      s,
		Call:         call,
	})
	defer result.answer.Release()
	result.write(w)
}

// sendNonIdempotent sends a claimed call. A server that the call could not be
// sent to received no byte of it, so the next server may be tried.
func (h *Handler) sendNonIdempotent(ctx context.Context, req nonIdempotentRequest) (*backend.Answer, error) {
	suspect := suspectOf(req.Organisation, req.Service, req.Call)
	suspect.Deadline, _ = ctx.Deadline()
	if until, refused := h.refuses(suspect, req.Service); refused {
		return nil, &blockedError{until}
	}
	var err error = backend.ErrNotSent
	for _, server := range h.servers.order(req.Service, h.isLeaving) {
		done := h.servers.beginCall(server.name)
		var answer *backend.Answer
		answer, err = h.client.Do(ctx, server.address, req.Call)
		done(err)
		h.observe(ctx, suspect, server, err)
		if err == nil || !isNotSent(err) {
			return answer, err
		}
	}
	return nil, err
}

func (h *Handler) isLeaving(name string) bool {
	host, ok := h.deps.Hosts.Host(name)
	return ok && host.State == hosts.Leaving
}
