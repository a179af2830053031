package forward_test

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
	"github.com/sirupsen/logrus"

	"wisteriafield/internal/backend/registry"
	"wisteriafield/internal/backend/server"
	"wisteriafield/internal/config/routes"
	"wisteriafield/internal/decision/link"
	"wisteriafield/internal/router/forward"
)

// desk is a service whose servers do what their fates say.
type desk struct {
	mu    sync.Mutex
	fate  map[string]func(ctx context.Context) (*server.Answer, error)
	sends []string
	runs  int
}

func (d *desk) Send(ctx context.Context, dispatch server.Dispatch) (*server.Answer, error) {
	d.mu.Lock()
	d.sends = append(d.sends, dispatch.Server.ID)
	f := d.fate[dispatch.Server.ID]
	d.mu.Unlock()
	if f == nil {
		f = d.answer(http.StatusOK, 10*time.Millisecond)
	}
	return f(ctx)
}

func (d *desk) answer(status int, after time.Duration) func(context.Context) (*server.Answer, error) {
	return func(ctx context.Context) (*server.Answer, error) {
		d.mu.Lock()
		d.runs++
		d.mu.Unlock()
		select {
		case <-time.After(after):
		case <-ctx.Done():
			return nil, fmt.Errorf("closed: %w", server.ErrLost)
		}
		body := io.NopCloser(bytes.NewBufferString("booked"))
		return &server.Answer{Status: status, Signed: true, Header: http.Header{"Seal": {"s"}}, Body: body}, nil
	}
}

func (d *desk) loses(context.Context) (*server.Answer, error) {
	d.mu.Lock()
	d.runs++
	d.mu.Unlock()
	return nil, fmt.Errorf("reset: %w", server.ErrLost)
}

func unreachable(context.Context) (*server.Answer, error) {
	return nil, fmt.Errorf("dial: %w", server.ErrNotSent)
}

func sheds(context.Context) (*server.Answer, error) {
	return &server.Answer{Status: http.StatusServiceUnavailable, NotExecuted: true, Body: http.NoBody}, nil
}

// breaksOff answers with half a body.
func breaksOff(context.Context) (*server.Answer, error) {
	body := io.NopCloser(io.MultiReader(bytes.NewBufferString("boo"), failing{}))
	return &server.Answer{Status: http.StatusOK, Signed: true, Body: body}, nil
}

type failing struct{}

func (failing) Read([]byte) (int, error) { return 0, io.ErrUnexpectedEOF }

type always bool

func (a always) Allow(string, time.Time) bool { return bool(a) }

func serve(d *desk, kind routes.Kind, attempts int) *httptest.ResponseRecorder {
	servers := registry.New()
	servers.Set(1, []server.Server{
		{ID: "i-0", Service: "desk", Address: "10.0.0.1:1", Slots: 6},
		{ID: "i-1", Service: "desk", Address: "10.0.0.2:1", Slots: 6},
	})
	servers.Get("i-1").Load.BeginRequest() // so that i-0 comes first
	log := logrus.New()
	log.SetOutput(io.Discard)
	f := forward.New(forward.Config{Servers: servers, Client: d, RetryBudget: always(true), Links: link.New(), Log: log.WithField("part", "plain")})
	res := httptest.NewRecorder()
	f.Serve(res, context.Background(), &server.Request{
		ID: "r", Service: "desk", ArrivedAt: time.Now(), Deadline: time.Now().Add(time.Second),
		Route: &routes.Route{Kind: kind, Attempts: attempts, Goal: 100 * time.Millisecond},
	}, &routes.Service{Name: "desk"})
	return res
}

func TestRequestsThatMayNotRepeat(t *testing.T) {
	for _, c := range []struct {
		name   string
		fate   func(d *desk) func(context.Context) (*server.Answer, error)
		status int
		sends  int
		runs   int
	}{
		{"run once and are answered", func(*desk) func(context.Context) (*server.Answer, error) { return nil }, 200, 1, 1},
		{"go to another server if the first was not reached", func(*desk) func(context.Context) (*server.Answer, error) { return unreachable }, 200, 2, 1},
		{"go to another server if the first says it did not run them", func(*desk) func(context.Context) (*server.Answer, error) { return sheds }, 200, 2, 1},
		{"are never sent again once they may have run", func(d *desk) func(context.Context) (*server.Answer, error) { return d.loses }, 502, 1, 1},
		{"pass a server's own failure on", func(d *desk) func(context.Context) (*server.Answer, error) { return d.answer(500, 0) }, 500, 1, 1},
		{"time out without a promise", func(d *desk) func(context.Context) (*server.Answer, error) { return d.answer(200, time.Hour) }, 504, 1, 1},
		{"do not look whole if the answer broke off", func(*desk) func(context.Context) (*server.Answer, error) { return breaksOff }, 502, 1, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				d := &desk{}
				d.fate = map[string]func(context.Context) (*server.Answer, error){"i-0": c.fate(d)}
				res := serve(d, routes.NonIdempotent, 1)
				g.Expect(res.Code).To(Equal(c.status))
				g.Expect(d.sends).To(HaveLen(c.sends))
				g.Expect(d.runs).To(Equal(c.runs))
			})
		})
	}
}

func TestARefusalIsGivenOnlyIfNothingRan(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		d := &desk{fate: map[string]func(context.Context) (*server.Answer, error){"i-0": sheds, "i-1": unreachable}}
		res := serve(d, routes.NonIdempotent, 1)
		g.Expect(res.Code).To(Equal(http.StatusServiceUnavailable))
		g.Expect(res.Header().Get("Retry-After")).NotTo(BeEmpty())
		g.Expect(d.runs).To(BeZero())
	})
}

func TestRequestsThatMayRepeatGetASecondServer(t *testing.T) {
	for _, c := range []struct {
		name string
		fate func(d *desk) func(context.Context) (*server.Answer, error)
	}{
		{"after a lost answer", func(d *desk) func(context.Context) (*server.Answer, error) { return d.loses }},
		{"after a failure", func(d *desk) func(context.Context) (*server.Answer, error) { return d.answer(500, 0) }},
		{"after half an answer", func(*desk) func(context.Context) (*server.Answer, error) { return breaksOff }},
		{"while the first one is slow", func(d *desk) func(context.Context) (*server.Answer, error) { return d.answer(200, time.Hour) }},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				d := &desk{}
				d.fate = map[string]func(context.Context) (*server.Answer, error){"i-0": c.fate(d)}
				began := time.Now()
				res := serve(d, routes.Idempotent, 2)
				g.Expect(res.Code).To(Equal(200))
				g.Expect(res.Body.String()).To(Equal("booked"))
				g.Expect(time.Since(began)).To(BeNumerically("<", 100*time.Millisecond), "within the goal")
				g.Expect(d.sends).To(HaveLen(2))
			})
		})
	}
}

func TestOneServerIsAllIfTheRouteSaysSo(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		d := &desk{}
		d.fate = map[string]func(context.Context) (*server.Answer, error){"i-0": d.loses}
		res := serve(d, routes.Idempotent, 1)
		g.Expect(res.Code).To(Equal(http.StatusBadGateway))
		g.Expect(d.sends).To(HaveLen(1))
	})
}
