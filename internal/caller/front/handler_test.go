package front_test

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/sirupsen/logrus"

	"wisteriafield/internal/backend/server"
	"wisteriafield/internal/caller/front"
	"wisteriafield/internal/config/routes"
)

type protocol struct{}

func (protocol) APIKey(r *http.Request) (string, bool) {
	key := r.Header.Get("Key")
	return key, key != ""
}

func (protocol) DecodeRequest(r *http.Request, now time.Time) *server.Request {
	req := &server.Request{ID: r.Header.Get("Id")}
	if left, err := time.ParseDuration(r.Header.Get("Left")); err == nil {
		req.Deadline = now.Add(left)
	}
	return req
}

// taken notes the requests that were let through.
type taken struct {
	name string
	all  *[]string
	last *server.Request
}

func (s *taken) Serve(w http.ResponseWriter, _ context.Context, req *server.Request, _ *routes.Service) {
	*s.all = append(*s.all, s.name+" "+req.Organisation+" "+req.Service+" "+string(req.Body))
	s.last = req
	w.WriteHeader(http.StatusOK)
}

type first struct{}

func (first) RecordFirstAttempt(string, time.Time) {}

// desk is a handler with one configuration.
type desk struct {
	handler  http.Handler
	table    *routes.Table
	served   []string
	plain    *taken
	stopping bool
	draining routes.Kind // requests that are no longer taken
}

func newDesk() *desk {
	d := &desk{}
	d.table = routes.NewTable(routes.Config{
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
	d.plain = &taken{name: "plain", all: &d.served}
	d.handler = front.New(front.Config{
		Protocol: protocol{}, Table: func() *routes.Table { return d.table },
		Streaming: &taken{name: "stream", all: &d.served}, NonStreaming: d.plain, RetryBudget: first{},
		Accepts:  func(req *server.Request, _ time.Time) bool { return d.draining == "" || req.Route.Kind != d.draining },
		Stopping: func() bool { return d.stopping }, Log: log.WithField("part", "front"),
	})
	return d
}

func (d *desk) ask(path, key, body string, header ...string) *httptest.ResponseRecorder {
	r := httptest.NewRequest(http.MethodPost, "http://h"+path, strings.NewReader(body))
	r.Header.Set("Id", "r-1")
	if key != "" {
		r.Header.Set("Key", key)
	}
	for i := 0; i+1 < len(header); i += 2 {
		r.Header.Set(header[i], header[i+1])
	}
	w := httptest.NewRecorder()
	d.handler.ServeHTTP(w, r)
	return w
}

func TestWhoGetsIn(t *testing.T) {
	for _, c := range []struct {
		name, path, key, body string
		header                []string
		status                int
		served                string
	}{
		{"a booking", "/book/1", "k", "x", nil, 200, "plain florist desk x"},
		{"a draft", "/draft/1", "k", "x", nil, 200, "stream florist engines x"},
		{"a public route needs no key", "/open/1", "", "", nil, 200, "plain  desk "},
		{"no route", "/none/1", "k", "", nil, 404, ""},
		{"a wrong key", "/book/1", "q", "", nil, 401, ""},
		{"no key", "/book/1", "", "", nil, 401, ""},
		{"a body that is too long", "/book/1", "k", "12345678901", nil, 413, ""},
		{"a header that is too long", "/book/1", "k", "", []string{"Big", strings.Repeat("x", 400)}, 431, ""},
		{"no id", "/book/1", "k", "", []string{"Id", ""}, 400, ""},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			d := newDesk()
			g.Expect(d.ask(c.path, c.key, c.body, c.header...).Code).To(Equal(c.status))
			g.Expect(strings.Join(d.served, ";")).To(Equal(c.served))
		})
	}
}

func TestTheRouteBoundsTheTime(t *testing.T) {
	g := NewWithT(t)
	d := newDesk()
	d.ask("/book/1", "k", "", "Left", "30s")
	g.Expect(time.Until(d.plain.last.Deadline)).To(BeNumerically("~", time.Second, 100*time.Millisecond))
	d.ask("/book/1", "k", "", "Left", "300ms")
	g.Expect(time.Until(d.plain.last.Deadline)).To(BeNumerically("~", 300*time.Millisecond, 100*time.Millisecond))
}

// Found on Qalamdaan trouble-3: callers that came back too early had no retry left.
func TestWithoutAConfigurationCallersAreToldToComeBackWhileTheyHaveTime(t *testing.T) {
	for _, c := range []struct{ left, retryAfter string }{
		{"25s", "2.500"}, {"1500ms", "0.500"}, {"60ms", "0.100"}, {"", "0.100"},
	} {
		g := NewWithT(t)
		d := newDesk()
		d.table = nil
		w := d.ask("/book/1", "k", "", "Left", c.left)
		g.Expect(w.Code).To(Equal(http.StatusServiceUnavailable), "never 404 or 401")
		g.Expect(w.Header().Get("Retry-After")).To(Equal(c.retryAfter))
	}
}

func TestARouterThatStopsClosesConnectionsAndSendsLongDraftsElsewhere(t *testing.T) {
	g := NewWithT(t)
	d := newDesk()
	d.stopping, d.draining = true, routes.Streaming
	w := d.ask("/draft/1", "k", "")
	g.Expect(w.Code).To(Equal(http.StatusServiceUnavailable))
	g.Expect(w.Header().Get("Connection")).To(Equal("close"))
	g.Expect(d.ask("/book/1", "k", "").Code).To(Equal(200), "short requests are still answered")
}

// Found on Qalamdaan trouble-2, seed 3: a booking was taken 30 ms before the end of
// a router that stopped, and cut.
func TestARouterAboutToEndTakesNoBookingEither(t *testing.T) {
	g := NewWithT(t)
	d := newDesk()
	d.stopping, d.draining = true, routes.NonIdempotent
	w := d.ask("/book/1", "k", "")
	g.Expect(w.Code).To(Equal(http.StatusServiceUnavailable))
	g.Expect(w.Header().Get("Retry-After")).NotTo(BeEmpty())
	g.Expect(d.served).To(BeEmpty())
}
