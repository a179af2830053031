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
	"wisteriafield/internal/decision/answermemory"
	"wisteriafield/internal/decision/link"
	decision "wisteriafield/internal/decision/ratelimit"
	"wisteriafield/internal/decision/storehistory"
	"wisteriafield/internal/router/forward"
	"wisteriafield/internal/router/quarantine"
	"wisteriafield/internal/router/ratelimit"
)

// fakeService is a service of two servers, which answer as its responses say.
type fakeService struct {
	mu        sync.Mutex
	responses map[string]func(ctx context.Context) (*server.Answer, error)
	sentTo    []string
	executed  int
	// repeatable counts the dispatches that allow the client to send the request again.
	repeatable int
	servers    *registry.Registry
	// gone means that a server that breaks off an answer is not there any more.
	gone bool
	// ended are the addresses of servers that are not there any more.
	ended map[string]bool
	// leaveAfter is how long callers wait; 0 for as long as it takes.
	leaveAfter time.Duration
	listened   int                                // checks whether a server is there
	checkTime  time.Duration                      // that a check takes
	check      func(address string) (bool, error) // nil for whether the server has ended
	budget     interface {
		Allow(service string, now time.Time) bool
		NextAt(service string, now time.Time) time.Time
		Return(service string, takenAt, now time.Time)
	} // fixedBudget(true) if nil
	borrow func(service string, n int) <-chan struct{}
}

func (s *fakeService) Send(ctx context.Context, dispatch server.Dispatch) (*server.Answer, error) {
	s.mu.Lock()
	s.sentTo = append(s.sentTo, dispatch.Server.ID)
	if dispatch.MayRepeat != nil {
		s.repeatable++
	}
	respond := s.responses[dispatch.Server.ID]
	s.mu.Unlock()
	if respond == nil {
		respond = s.respond(http.StatusOK, 10*time.Millisecond)
	}
	return respond(ctx)
}

func (s *fakeService) Listens(ctx context.Context, address string) (bool, error) {
	select {
	case <-ctx.Done():
	case <-time.After(s.checkTime):
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.listened++
	if s.check != nil {
		return s.check(address)
	}
	return !s.gone && !s.ended[address], ctx.Err()
}

func (s *fakeService) respond(status int, after time.Duration) func(context.Context) (*server.Answer, error) {
	return func(ctx context.Context) (*server.Answer, error) {
		s.mu.Lock()
		s.executed++
		s.mu.Unlock()
		select {
		case <-time.After(after):
		case <-ctx.Done():
			return nil, fmt.Errorf("closed: %w", server.ErrLost)
		}
		body := io.NopCloser(bytes.NewBufferString("booked"))
		return &server.Answer{Status: status, Signed: true, Header: http.Header{"Seal": {"s"}}, Body: body}, nil
	}
}

func (s *fakeService) loseAnswer(context.Context) (*server.Answer, error) {
	s.mu.Lock()
	s.executed++
	s.mu.Unlock()
	return nil, fmt.Errorf("reset: %w", server.ErrLost)
}

func unreachable(context.Context) (*server.Answer, error) {
	return nil, fmt.Errorf("dial: %w", server.ErrNotSent)
}

func refuse(context.Context) (*server.Answer, error) {
	return &server.Answer{Status: http.StatusServiceUnavailable, NotExecuted: true, Body: http.NoBody}, nil
}

// refuseAnother answers with a refusal that names another request.
func refuseAnother(context.Context) (*server.Answer, error) {
	return &server.Answer{Status: http.StatusServiceUnavailable, Mismatched: true, Body: http.NoBody}, nil
}

// truncateAnswer answers with half of a body.
func truncateAnswer(context.Context) (*server.Answer, error) {
	body := io.NopCloser(io.MultiReader(bytes.NewBufferString("boo"), failingReader{}))
	return &server.Answer{Status: http.StatusOK, Signed: true, Body: body}, nil
}

type failingReader struct{}

func (failingReader) Read([]byte) (int, error) { return 0, io.ErrUnexpectedEOF }

type fixedBudget bool

func (a fixedBudget) Allow(string, time.Time) bool { return bool(a) }

func (fixedBudget) Return(string, time.Time, time.Time) {}

func (a fixedBudget) NextAt(_ string, now time.Time) time.Time {
	if !a {
		return time.Time{}
	}
	return now
}

func serve(s *fakeService, kind routes.Kind, attempts int) *httptest.ResponseRecorder {
	return newForwarder(s, 2)(kind, attempts, "")
}

// newForwarder returns a function that serves one request before n servers. The request's
// prompt has a shared part unless that is empty.
func newForwarder(s *fakeService, n int) func(kind routes.Kind, attempts int, part string) *httptest.ResponseRecorder {
	servers := registry.New()
	s.servers = servers
	var all []server.Server
	for i := range n {
		all = append(all, server.Server{ID: fmt.Sprintf("i-%d", i), Service: "desk", Address: fmt.Sprintf("10.0.0.%d:1", i+1), Slots: 6})
	}
	servers.Set(storehistory.Position{Revision: 1}, all)
	if second := servers.Get("i-1"); second != nil {
		second.Load.BeginRequest() // so that i-0 is chosen first
	}
	log := logrus.New()
	log.SetOutput(io.Discard)
	limits := ratelimit.New(decision.Config{Self: "router", Peers: func(time.Time) []string { return nil }, Demand: func(string, time.Time) float64 { return 1 }}, log.WithField("part", "limits"))
	if s.budget == nil {
		s.budget = fixedBudget(true)
	}
	guard := quarantine.New(0, func() {}, log.WithField("part", "quarantine"))
	guard.CheckServers(quarantine.Checks{Listens: s.Listens, Leaves: servers.Leaves, Replaced: servers.Replaced})
	f := forward.New(forward.Config{Servers: servers, Client: s, RetryBudget: s.budget, Borrow: s.borrow, Quarantine: guard, Limits: limits, Memory: answermemory.New(16 << 20), Links: link.New(), Log: log.WithField("part", "plain")})
	sessions := 0
	return func(kind routes.Kind, attempts int, part string) *httptest.ResponseRecorder {
		res := httptest.NewRecorder()
		req := &server.Request{
			ID: "r", Service: "desk", ArrivedAt: time.Now(), Deadline: time.Now().Add(time.Second),
			Route: &routes.Route{Kind: kind, MaxAttempts: attempts, LatencyTarget: 100 * time.Millisecond},
		}
		if part != "" {
			sessions++
			req.PromptParts = []server.PromptPart{{ID: part}, {ID: fmt.Sprintf("own-%d", sessions)}}
		}
		req.SetDigest()
		ctx, leave := context.WithCancel(context.Background())
		defer leave()
		if s.leaveAfter > 0 {
			defer time.AfterFunc(s.leaveAfter, leave).Stop()
		}
		f.Serve(res, ctx, req, &routes.Service{Name: "desk"})
		return res
	}
}

func TestNonIdempotentRequests(t *testing.T) {
	for _, c := range []struct {
		name     string
		response func(s *fakeService) func(context.Context) (*server.Answer, error)
		status   int
		attempts int
		executed int
	}{
		{"are executed once and answered", func(*fakeService) func(context.Context) (*server.Answer, error) { return nil }, 200, 1, 1},
		{"are retried if the first server was not reached", func(*fakeService) func(context.Context) (*server.Answer, error) { return unreachable }, 200, 2, 1},
		{"are retried if the first server says that it did not execute them", func(*fakeService) func(context.Context) (*server.Answer, error) { return refuse }, 200, 2, 1},
		{"are not retried once a server may have executed them", func(s *fakeService) func(context.Context) (*server.Answer, error) { return s.loseAnswer }, 502, 1, 1},
		{"return a server's own error", func(s *fakeService) func(context.Context) (*server.Answer, error) { return s.respond(500, 0) }, 500, 1, 1},
		{"time out without saying that nothing was executed", func(s *fakeService) func(context.Context) (*server.Answer, error) { return s.respond(200, time.Hour) }, 504, 1, 1},
		{"are not retried after a refusal of another request", func(*fakeService) func(context.Context) (*server.Answer, error) { return refuseAnother }, 502, 1, 0},
		{"fail if a server answers 503 without stating that it did not execute them", func(s *fakeService) func(context.Context) (*server.Answer, error) { return s.respond(503, 0) }, 502, 1, 1},
		{"fail if a server answers 429 without stating that it did not execute them", func(s *fakeService) func(context.Context) (*server.Answer, error) { return s.respond(429, 0) }, 502, 1, 1},
		{"fail if a server answers 408 without stating that it did not execute them", func(s *fakeService) func(context.Context) (*server.Answer, error) { return s.respond(408, 0) }, 502, 1, 1},
		{"fail if the answer is truncated", func(*fakeService) func(context.Context) (*server.Answer, error) { return truncateAnswer }, 502, 1, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				s := &fakeService{}
				s.responses = map[string]func(context.Context) (*server.Answer, error){"i-0": c.response(s)}
				res := serve(s, routes.NonIdempotent, 1)
				g.Expect(res.Code).To(Equal(c.status))
				g.Expect(s.sentTo).To(HaveLen(c.attempts))
				g.Expect(s.executed).To(Equal(c.executed))
			})
		})
	}
}

// Guards against a request that runs at most once on a kept connection, whose end would not tell
// whether it has run.
func TestOnlyIdempotentRequestsMayBeSentAgain(t *testing.T) {
	for kind, want := range map[routes.Kind]int{routes.Idempotent: 1, routes.NonIdempotent: 0, routes.Streaming: 0} {
		t.Run(string(kind), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := &fakeService{}
				NewWithT(t).Expect(serve(s, kind, 1).Code).To(Equal(http.StatusOK))
				NewWithT(t).Expect(s.repeatable).To(Equal(want))
			})
		})
	}
}

func TestRefusalMeansThatNothingWasExecuted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		s := &fakeService{responses: map[string]func(context.Context) (*server.Answer, error){"i-0": refuse, "i-1": unreachable}}
		res := serve(s, routes.NonIdempotent, 1)
		g.Expect(res.Code).To(Equal(http.StatusServiceUnavailable))
		g.Expect(res.Header().Get("Retry-After")).NotTo(BeEmpty())
		g.Expect(s.executed).To(BeZero())
	})
}

func TestIdempotentRequestsAreRetried(t *testing.T) {
	for _, c := range []struct {
		name     string
		response func(s *fakeService) func(context.Context) (*server.Answer, error)
	}{
		{"after a lost answer", func(s *fakeService) func(context.Context) (*server.Answer, error) { return s.loseAnswer }},
		{"after a failure", func(s *fakeService) func(context.Context) (*server.Answer, error) { return s.respond(500, 0) }},
		{"after a truncated answer", func(*fakeService) func(context.Context) (*server.Answer, error) { return truncateAnswer }},
		{"while the first server is slow", func(s *fakeService) func(context.Context) (*server.Answer, error) { return s.respond(200, time.Hour) }},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				s := &fakeService{}
				s.responses = map[string]func(context.Context) (*server.Answer, error){"i-0": c.response(s)}
				startedAt := time.Now()
				res := serve(s, routes.Idempotent, 2)
				g.Expect(res.Code).To(Equal(200))
				g.Expect(res.Body.String()).To(Equal("booked"))
				g.Expect(time.Since(startedAt)).To(BeNumerically("<", 100*time.Millisecond), "answered within the route's latency target")
				g.Expect(s.sentTo).To(HaveLen(2))
			})
		})
	}
}

func TestRouteWithOneAttemptIsNotRetried(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		s := &fakeService{}
		s.responses = map[string]func(context.Context) (*server.Answer, error){"i-0": s.loseAnswer}
		res := serve(s, routes.Idempotent, 1)
		g.Expect(res.Code).To(Equal(http.StatusBadGateway))
		g.Expect(s.sentTo).To(HaveLen(1))
	})
}
