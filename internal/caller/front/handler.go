// Package front is the front end for callers: it finds the route of a request,
// checks its key and passes it to the RequestServer of its kind.
package front

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"github.com/sirupsen/logrus"

	"wisteriafield/internal/backend/server"
	"wisteriafield/internal/config/routes"
	"wisteriafield/internal/decision/answermemory"
)

const (
	// defaultMaxBody bounds a body, in bytes, if the configuration does not.
	defaultMaxBody = 16 << 20
	// Without a configuration or memory, the Retry-After is the caller's remaining time
	// divided by retryDivisor, kept within the bounds below. A third of the
	// remaining time is the longest delay that callers follow. An outage of the store
	// lasts seconds, and a caller that reconnects too early uses up its retry.
	retryDivisor  = 3
	minRetryDelay = 100 * time.Millisecond
	maxRetryDelay = 2500 * time.Millisecond
	// stoppingRetryAfter, in seconds, lets the caller retry at another router at
	// once.
	stoppingRetryAfter = "0.01"
	// answerMargin is what is left of the time that a caller waits, for the answer to reach
	// it and for what went by before its request was read. It is at most that time divided
	// by answerMarginDivisor.
	answerMargin        = 20 * time.Millisecond
	answerMarginDivisor = 10
)

// Protocol decodes the headers of requests.
type Protocol interface {
	// APIKey returns the caller's key and whether the request has one.
	APIKey(r *http.Request) (string, bool)
	// DecodeRequest returns a request with the fields that its headers set.
	DecodeRequest(r *http.Request, now time.Time) *server.Request
}

// RequestServer serves the admitted requests of one kind.
type RequestServer interface {
	Serve(w http.ResponseWriter, ctx context.Context, req *server.Request, service *routes.Service)
}

// Config configures a Handler.
type Config struct {
	Protocol     Protocol
	Table        func() *routes.Table // returns nil without a configuration
	Streaming    RequestServer
	NonStreaming RequestServer
	RetryBudget  interface {
		RecordFirstAttempt(service string, now time.Time)
	}
	// Accepts reports whether a new request is still accepted by this router.
	Accepts func(req *server.Request, now time.Time) bool
	// Stopping reports whether connections should be closed after their answers.
	Stopping func() bool
	Memory   *answermemory.Budget // of the bodies of requests
	Log      *logrus.Entry
}

// Handler admits the requests of callers and passes them on.
type Handler struct{ cfg Config }

// New returns a handler.
func New(cfg Config) *Handler { return &Handler{cfg: cfg} }

var _ http.Handler = (*Handler)(nil)

// ServeHTTP answers one request.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	now := time.Now()
	w.Header()["Date"] = nil
	if h.cfg.Stopping() {
		w.Header().Set("Connection", "close")
	}
	table := h.cfg.Table()
	if table == nil {
		var release func()
		table, release = h.awaitTable(w, r, now)
		defer release()
	}
	if table == nil {
		h.refuseWithoutConfig(w, r, now)
		return
	}
	req, status := h.admit(table, r, now)
	if status != 0 {
		h.cfg.Log.WithField("status", status).WithField("host", r.Host).WithField("path", r.URL.Path).
			WithField("version", table.Version).Info("request rejected")
		if status != http.StatusRequestEntityTooLarge {
			discardBody(w, r, bodyLimit(table))
		}
		w.WriteHeader(status)
		return
	}
	body, status := h.readBody(w, r, table, req)
	if status != 0 {
		w.Header().Set("Connection", "close")
		w.WriteHeader(status)
		return
	}
	defer body.Release()
	req.Body = body.Bytes()
	req.SetDigest()
	service := table.Service(req.Service)
	if service == nil {
		service = &routes.Service{Name: req.Service}
	}
	if !h.cfg.Accepts(req, time.Now()) {
		h.cfg.Log.WithField("id", req.ID).Info("request refused: router is stopping")
		w.Header().Set("Retry-After", stoppingRetryAfter)
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	h.cfg.RetryBudget.RecordFirstAttempt(req.Service, now)
	limitWriting(w, req)
	if req.Route.Kind == routes.Streaming {
		h.cfg.Streaming.Serve(w, r.Context(), req, service)
		return
	}
	h.cfg.NonStreaming.Serve(w, r.Context(), req, service)
}

// refuseWithoutConfig refuses a request while there is no configuration.
func (h *Handler) refuseWithoutConfig(w http.ResponseWriter, r *http.Request, now time.Time) {
	req := h.cfg.Protocol.DecodeRequest(r, now)
	wait := retryDelay(req, now)
	h.cfg.Log.WithField("id", req.ID).WithField("retryAfter", wait.Seconds()).Info("request refused: no configuration")
	discardBody(w, r, defaultMaxBody)
	setRetryAfter(w, wait)
	w.WriteHeader(http.StatusServiceUnavailable)
}

func retryDelay(req *server.Request, now time.Time) time.Duration {
	if req.Deadline.IsZero() {
		return minRetryDelay
	}
	return min(max(req.Deadline.Sub(now)/retryDivisor, minRetryDelay), maxRetryDelay)
}

func setRetryAfter(w http.ResponseWriter, wait time.Duration) {
	w.Header().Set("Retry-After", strconv.FormatFloat(wait.Seconds(), 'f', 3, 64))
}

// admit finds the route, checks the key and the limits, and sets the deadline and
// the service. The status is 0, or the one that rejects the request.
func (h *Handler) admit(table *routes.Table, r *http.Request, now time.Time) (*server.Request, int) {
	route := table.Match(r.Host, r.URL.Path)
	if route == nil {
		return nil, http.StatusNotFound
	}
	req := h.cfg.Protocol.DecodeRequest(r, now)
	if req.ID == "" {
		return nil, http.StatusBadRequest
	}
	req.Route = route
	req.ConfigVersion = table.Version
	req.Priority = route.Priority
	if table.RequiresKey() && !route.Public {
		key, ok := h.cfg.Protocol.APIKey(r)
		organisation := table.Organisation(key)
		if !ok || organisation == nil {
			return nil, http.StatusUnauthorized
		}
		req.Organisation = organisation.Name
		if organisation.Priority != nil {
			req.Priority = *organisation.Priority
		}
	}
	if table.Limits.MaxBody > 0 && r.ContentLength > table.Limits.MaxBody {
		return nil, http.StatusRequestEntityTooLarge
	}
	if table.Limits.MaxHeader > 0 && headerSize(r) > table.Limits.MaxHeader {
		return nil, http.StatusRequestHeaderFieldsTooLarge
	}
	if !req.Deadline.IsZero() {
		req.AnswerDeadline = req.Deadline.Add(-min(answerMargin, req.Deadline.Sub(now)/answerMarginDivisor))
	}
	if end := now.Add(route.Timeout); route.Timeout > 0 && (req.Deadline.IsZero() || end.Before(req.Deadline)) {
		req.Deadline = end
	}
	if req.AnswerDeadline.After(req.Deadline) {
		req.AnswerDeadline = req.Deadline
	}
	if req.Deadline.IsZero() {
		req.Deadline = now.Add(time.Minute)
	}
	req.Service = route.PickService(req.ID)
	return req, 0
}

// headerSize returns the size of the request line and the headers in bytes, with
// the separators of a header line.
func headerSize(r *http.Request) int {
	size := len(r.Method) + len(r.RequestURI) + len(r.Host)
	for name, values := range r.Header {
		for _, v := range values {
			size += len(name) + len(v) + 4
		}
	}
	return size
}
