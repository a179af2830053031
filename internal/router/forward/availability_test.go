package forward_test

import (
	"context"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"wisteriafield/internal/backend/server"
	"wisteriafield/internal/config/routes"
)

// leaving makes a server say that it leaves.
func leaving(respond func(context.Context) (*server.Answer, error)) func(context.Context) (*server.Answer, error) {
	return func(ctx context.Context) (*server.Answer, error) {
		a, err := respond(ctx)
		if a != nil {
			a.Leaving = true
		}
		return a, err
	}
}

// A server that said it leaves got requests for as long as the store listed it as ready.
func TestServerThatSaysItLeavesGetsNoMoreRequests(t *testing.T) {
	for _, kind := range []routes.Kind{routes.Idempotent, routes.NonIdempotent} {
		synctest.Test(t, func(t *testing.T) {
			g := NewWithT(t)
			s := &fakeService{}
			s.responses = map[string]func(context.Context) (*server.Answer, error){"i-0": leaving(s.respond(http.StatusOK, 0))}
			send := newForwarder(s, 2)
			for range 20 {
				g.Expect(send(kind, 2, "").Code).To(Equal(http.StatusOK))
				time.Sleep(200 * time.Millisecond)
			}
			g.Expect(s.sentTo[0]).To(Equal("i-0"))
			g.Expect(s.sentTo[1:]).NotTo(ContainElement("i-0"))
		})
	}
}

// Retries and hedges went to it too.
func TestServerThatSaysItLeavesGetsNoRetriesAndHedges(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		s := &fakeService{}
		s.responses = map[string]func(context.Context) (*server.Answer, error){"i-0": leaving(refuse)}
		send := newForwarder(s, 2)
		g.Expect(send(routes.NonIdempotent, 1, "").Code).To(Equal(http.StatusOK))
		g.Expect(s.sentTo).To(Equal([]string{"i-0", "i-1"}))
		time.Sleep(time.Second)
		s.responses["i-1"] = refuse
		g.Expect(send(routes.NonIdempotent, 1, "").Code).To(Equal(http.StatusServiceUnavailable))
		s.responses["i-1"] = s.respond(http.StatusInternalServerError, 0)
		g.Expect(send(routes.Idempotent, 2, "").Code).To(Equal(http.StatusInternalServerError))
		s.responses["i-1"] = s.respond(http.StatusOK, 500*time.Millisecond)
		g.Expect(send(routes.Idempotent, 2, "").Code).To(Equal(http.StatusOK))
		g.Expect(s.sentTo).To(Equal([]string{"i-0", "i-1", "i-1", "i-1", "i-1"}))
	})
}

// pausing turns requests away and wants nothing more for a time.
func pausing(pause time.Duration) func(context.Context) (*server.Answer, error) {
	return func(context.Context) (*server.Answer, error) {
		return &server.Answer{Status: http.StatusServiceUnavailable, NotExecuted: true, RetryAt: time.Now().Add(pause), Body: http.NoBody}, nil
	}
}

// A server that had turned a request away for a time got the next ones at once.
func TestServerThatWantsNothingForATimeGetsNothing(t *testing.T) {
	for _, kind := range []routes.Kind{routes.Idempotent, routes.NonIdempotent} {
		synctest.Test(t, func(t *testing.T) {
			g := NewWithT(t)
			s := &fakeService{responses: map[string]func(context.Context) (*server.Answer, error){"i-0": pausing(4 * time.Second)}}
			send := newForwarder(s, 2)
			startedAt := time.Now()
			for time.Since(startedAt) < 3900*time.Millisecond {
				s.responses["i-1"] = s.respond(http.StatusOK, 60*time.Millisecond) // long enough for a hedge
				g.Expect(send(kind, 2, "").Code).To(Equal(http.StatusOK), "the other server takes them")
				s.responses["i-1"] = refuse
				g.Expect(send(kind, 2, "").Code).To(Equal(http.StatusServiceUnavailable), "nor do retries go there")
			}
			g.Expect(s.sentTo[0]).To(Equal("i-0"))
			g.Expect(s.sentTo[1:]).NotTo(ContainElement("i-0"))
			time.Sleep(100 * time.Millisecond)
			s.responses = map[string]func(context.Context) (*server.Answer, error){"i-1": refuse}
			g.Expect(send(kind, 2, "").Code).To(Equal(http.StatusOK), "the time is over")
			g.Expect(s.sentTo[len(s.sentTo)-1]).To(Equal("i-0"))
		})
	}
}

// Requests that no server wanted were sent all the same, and callers came back too early.
func TestRequestThatNoServerWantsIsRefusedUntilOneDoes(t *testing.T) {
	for _, kind := range []routes.Kind{routes.Idempotent, routes.NonIdempotent} {
		synctest.Test(t, func(t *testing.T) {
			g := NewWithT(t)
			s := &fakeService{responses: map[string]func(context.Context) (*server.Answer, error){"i-0": pausing(4 * time.Second), "i-1": pausing(2 * time.Second)}}
			send := newForwarder(s, 2)
			for range 5 {
				res := send(kind, 2, "")
				g.Expect(res.Code).To(Equal(http.StatusServiceUnavailable))
				g.Expect(res.Header().Get("Retry-After")).To(Equal("2.00"))
			}
			g.Expect(s.sentTo).To(Equal([]string{"i-0", "i-1"}))
			time.Sleep(2 * time.Second)
			delete(s.responses, "i-1")
			g.Expect(send(kind, 2, "").Code).To(Equal(http.StatusOK))
			g.Expect(s.sentTo).To(Equal([]string{"i-0", "i-1", "i-1"}))
		})
	}
}
