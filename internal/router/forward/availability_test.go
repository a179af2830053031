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
