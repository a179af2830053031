package front_test

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/sirupsen/logrus"

	"wisteriafield/internal/backend/server"
	"wisteriafield/internal/caller/front"
	"wisteriafield/internal/config/routes"
	"wisteriafield/internal/decision/answermemory"
)

const requestMemoryBytes = 1 << 20

type fakeProtocol struct{}

func (fakeProtocol) APIKey(r *http.Request) (string, bool) {
	key := r.Header.Get("Key")
	return key, key != ""
}

func (fakeProtocol) DecodeRequest(r *http.Request, now time.Time) *server.Request {
	req := &server.Request{ID: r.Header.Get("Id")}
	if left, err := time.ParseDuration(r.Header.Get("Left")); err == nil {
		req.Deadline = now.Add(left)
	}
	return req
}

// recordingServer records the requests that were admitted.
type recordingServer struct {
	name   string
	served *[]string
	last   *server.Request
}

func (s *recordingServer) Serve(w http.ResponseWriter, _ context.Context, req *server.Request, _ *routes.Service) {
	*s.served = append(*s.served, s.name+" "+req.Organisation+" "+req.Service+" "+string(req.Body))
	s.last = req
	w.WriteHeader(http.StatusOK)
}

type noRetryBudget struct{}

func (noRetryBudget) RecordFirstAttempt(string, time.Time) {}

// testHandler is a handler with one configuration and recording servers.
type testHandler struct {
	handler      http.Handler
	table        *routes.Table
	served       []string
	nonStreaming *recordingServer
	stopping     bool
	mu           sync.Mutex // held for the table, once requests are served
	acceptedAt   time.Time
	memory       *answermemory.Budget
	held         int64       // of memory, when the last request was accepted
	draining     routes.Kind // kind of requests that are no longer accepted
}

func newTestHandler() *testHandler {
	h := &testHandler{memory: answermemory.New(requestMemoryBytes)}
	h.table = routes.NewTable(routes.Config{
		Version: 3,
		Routes: []routes.Route{
			{Host: "h", Prefix: "/book/", Kind: routes.NonIdempotent, Timeout: time.Second, Split: []routes.Share{{Service: "desk", Weight: 1}}},
			{Host: "h", Prefix: "/draft/", Kind: routes.Streaming, Timeout: 25 * time.Second, Split: []routes.Share{{Service: "engines", Weight: 1}}},
			{Host: "h", Prefix: "/open/", Public: true, Split: []routes.Share{{Service: "desk", Weight: 1}}},
		},
		Services:      []routes.Service{{Name: "desk"}, {Name: "engines", Engine: &routes.Engine{}}},
		Limits:        routes.Limits{MaxBody: 10, MaxHeader: 400},
		Organisations: []routes.Organisation{{Name: "florist", Keys: []string{"k"}}},
	})
	log := logrus.New()
	log.SetOutput(io.Discard)
	h.nonStreaming = &recordingServer{name: "plain", served: &h.served}
	h.handler = front.New(front.Config{
		Protocol: fakeProtocol{}, Table: h.currentTable,
		Streaming: &recordingServer{name: "stream", served: &h.served}, NonStreaming: h.nonStreaming, RetryBudget: noRetryBudget{},
		Accepts: func(req *server.Request, now time.Time) bool {
			h.acceptedAt, h.held = now, h.memory.Used()
			return h.draining == "" || req.Route.Kind != h.draining
		},
		Stopping: func() bool { return h.stopping }, Memory: h.memory, Log: log.WithField("part", "front"),
	})
	return h
}

func (h *testHandler) currentTable() *routes.Table {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.table
}

func (h *testHandler) setTable(t *routes.Table) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.table = t
}

func (h *testHandler) post(path, key, body string, header ...string) *httptest.ResponseRecorder {
	r := httptest.NewRequest(http.MethodPost, "http://h"+path, strings.NewReader(body))
	r.Header.Set("Id", "r-1")
	if key != "" {
		r.Header.Set("Key", key)
	}
	for i := 0; i+1 < len(header); i += 2 {
		r.Header.Set(header[i], header[i+1])
	}
	w := httptest.NewRecorder()
	h.handler.ServeHTTP(w, r)
	return w
}

func TestRequestsAreAdmittedOrRejected(t *testing.T) {
	for _, c := range []struct {
		name, path, key, body string
		header                []string
		status                int
		served                string
	}{
		{"a booking", "/book/1", "k", "x", nil, 200, "plain florist desk x"},
		{"a draft", "/draft/1", "k", "x", nil, 200, "stream florist engines x"},
		{"public route without a key", "/open/1", "", "", nil, 200, "plain  desk "},
		{"no route", "/none/1", "k", "", nil, 404, ""},
		{"wrong key", "/book/1", "q", "", nil, 401, ""},
		{"no key", "/book/1", "", "", nil, 401, ""},
		{"body too large", "/book/1", "k", "12345678901", nil, 413, ""},
		{"headers too large", "/book/1", "k", "", []string{"Big", strings.Repeat("x", 400)}, 431, ""},
		{"no id", "/book/1", "k", "", []string{"Id", ""}, 400, ""},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			h := newTestHandler()
			g.Expect(h.post(c.path, c.key, c.body, c.header...).Code).To(Equal(c.status))
			g.Expect(strings.Join(h.served, ";")).To(Equal(c.served))
		})
	}
}

func TestRouteTimeoutBoundsTheDeadline(t *testing.T) {
	g := NewWithT(t)
	h := newTestHandler()
	h.post("/book/1", "k", "", "Left", "30s")
	g.Expect(time.Until(h.nonStreaming.last.Deadline)).To(BeNumerically("~", time.Second, 100*time.Millisecond))
	h.post("/book/1", "k", "", "Left", "300ms")
	g.Expect(time.Until(h.nonStreaming.last.Deadline)).To(BeNumerically("~", 300*time.Millisecond, 100*time.Millisecond))
}

func TestAnAnswerAtTheDeadlineStillReachesItsCaller(t *testing.T) {
	for left, margin := range map[time.Duration]time.Duration{25 * time.Second: 20 * time.Millisecond, 100 * time.Millisecond: 10 * time.Millisecond} {
		g := NewWithT(t)
		h := newTestHandler()
		h.table.Match("h", "/book/1").Timeout = time.Minute
		h.post("/book/1", "k", "", "Left", left.String())
		g.Expect(h.nonStreaming.last.AnswerBy()).To(BeTemporally("<=", time.Now().Add(left-margin)))
		g.Expect(h.nonStreaming.last.Deadline).To(BeTemporally(">", time.Now().Add(left-margin)), "a stream that has begun goes on")
	}
}

// Without a configuration, callers that are told to reconnect too early have no
// retry left when it arrives. Seen in scenario Qalamdaan trouble-3.
func TestRetryAfterWithoutConfigurationFitsTheRemainingTime(t *testing.T) {
	for _, c := range []struct{ left, retryAfter string }{
		{"25s", "2.500"}, {"1500ms", "0.500"}, {"60ms", "0.100"}, {"", "0.100"},
	} {
		g := NewWithT(t)
		h := newTestHandler()
		h.table = nil
		w := h.post("/book/1", "k", "", "Left", c.left)
		g.Expect(w.Code).To(Equal(http.StatusServiceUnavailable), "never 404 or 401")
		g.Expect(w.Header().Get("Retry-After")).To(Equal(c.retryAfter))
	}
}

func TestStoppingRouterClosesConnectionsAndRefusesDrafts(t *testing.T) {
	g := NewWithT(t)
	h := newTestHandler()
	h.stopping, h.draining = true, routes.Streaming
	w := h.post("/draft/1", "k", "")
	g.Expect(w.Code).To(Equal(http.StatusServiceUnavailable))
	g.Expect(w.Header().Get("Connection")).To(Equal("close"))
	g.Expect(h.post("/book/1", "k", "").Code).To(Equal(200), "short requests are still answered")
}

// A stopping router accepted a booking 30 ms before its end and cut it off. Seen in
// scenario Qalamdaan trouble-2, seed 3.
func TestRouterAboutToEndRefusesBookings(t *testing.T) {
	g := NewWithT(t)
	h := newTestHandler()
	h.stopping, h.draining = true, routes.NonIdempotent
	w := h.post("/book/1", "k", "")
	g.Expect(w.Code).To(Equal(http.StatusServiceUnavailable))
	g.Expect(w.Header().Get("Retry-After")).NotTo(BeEmpty())
	g.Expect(h.served).To(BeEmpty())
}
