package forward_test

import (
	"context"
	"fmt"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"wisteriafield/internal/backend/server"
	"wisteriafield/internal/config/routes"
	"wisteriafield/internal/decision/storehistory"
)

// crash breaks off before an answer, as a server does that ends.
func crash(context.Context) (*server.Answer, error) {
	time.Sleep(60 * time.Millisecond)
	return nil, fmt.Errorf("read: %w: %w", fmt.Errorf("EOF"), server.ErrLost)
}

// newCrashingService returns a service whose n servers all crash.
func newCrashingService(n int) *fakeService {
	s := &fakeService{gone: true, responses: make(map[string]func(context.Context) (*server.Answer, error))}
	for i := range n {
		s.responses[fmt.Sprintf("i-%d", i)] = crash
	}
	return s
}

func TestACallThatCrashesServersIsNotSentToAllOfThem(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		s := newCrashingService(8)
		send := newForwarder(s, 8)
		for range 8 {
			send(routes.NonIdempotent, 1, "")
			time.Sleep(time.Second)
		}
		g.Expect(s.sentTo).To(HaveLen(3))
		res := send(routes.Idempotent, 3, "")
		g.Expect(res.Code).To(Equal(http.StatusServiceUnavailable))
		g.Expect(s.sentTo).To(HaveLen(3))
	})
}

func TestLostConnectionsToServersThatAreThereBlockNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		s := newCrashingService(8)
		s.gone = false
		send := newForwarder(s, 8)
		for range 4 {
			send(routes.NonIdempotent, 1, "")
			time.Sleep(time.Second)
		}
		s.responses = nil
		g.Expect(send(routes.NonIdempotent, 1, "").Code).To(Equal(http.StatusOK))
	})
}

func TestACallThatCrashedServersIsNotSentToTheLastOne(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		s := newCrashingService(3)
		send := newForwarder(s, 3)
		g.Expect(send(routes.Idempotent, 3, "").Code).To(Equal(http.StatusBadGateway))
		g.Expect(s.sentTo).To(HaveLen(2), "one server is left")
		g.Expect(send(routes.Idempotent, 3, "").Code).To(Equal(http.StatusServiceUnavailable), "it has not run")
		time.Sleep(2 * time.Second)
		s.responses = nil
		g.Expect(send(routes.Idempotent, 3, "").Code).To(Equal(http.StatusServiceUnavailable), "the others are not back")
		back := []server.Server{{ID: "i-9", Service: "desk", Address: "10.0.0.9:1", Slots: 6}}
		for _, e := range s.servers.All() {
			back = append(back, e.Server)
		}
		s.servers.Set(storehistory.Position{Revision: 2}, back)
		g.Expect(send(routes.Idempotent, 3, "").Code).To(Equal(http.StatusOK))
	})
}
