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
)

type response = func(context.Context) (*server.Answer, error)

// crashAfter breaks off before an answer, as a server does that ends.
func crashAfter(delay time.Duration) response {
	return func(context.Context) (*server.Answer, error) {
		time.Sleep(delay)
		return nil, fmt.Errorf("EOF: %w", server.ErrLost)
	}
}

// mute accepts a request and sends nothing.
func mute(ctx context.Context) (*server.Answer, error) {
	<-ctx.Done()
	return nil, fmt.Errorf("closed: %w", server.ErrLost)
}

// newOrderedService returns a service whose n servers are gone once they break off. The
// first request that any of them gets is answered by the first response, and so on.
func newOrderedService(n int, responses ...response) *fakeService {
	s := &fakeService{gone: true, responses: make(map[string]response)}
	next := make(chan response, len(responses))
	for _, respond := range responses {
		next <- respond
	}
	for i := range n {
		s.responses[fmt.Sprintf("i-%d", i)] = func(ctx context.Context) (*server.Answer, error) {
			select {
			case respond := <-next:
				return respond(ctx)
			default:
				return s.respond(http.StatusOK, 10*time.Millisecond)(ctx)
			}
		}
	}
	return s
}

func TestACallUnderWhichAServerCrashedIsNotLeftAtAMuteServer(t *testing.T) {
	for name, delay := range map[string]time.Duration{"its retry is mute": 20 * time.Millisecond, "its hedge is mute": 60 * time.Millisecond} {
		for attempts := 2; attempts <= 3; attempts++ {
			t.Run(fmt.Sprintf("%s, %d attempts", name, attempts), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					g := NewWithT(t)
					s := newOrderedService(3, crashAfter(delay), mute)
					startedAt := time.Now()
					res := newForwarder(s, 3)(routes.Idempotent, attempts, "")
					g.Expect(res.Code).To(Equal(http.StatusOK))
					g.Expect(time.Since(startedAt)).To(BeNumerically("<", 500*time.Millisecond), "half of its deadline")
					synctest.Wait()
					g.Expect(s.sentTo).To(ConsistOf("i-0", "i-1", "i-2"))
				})
			})
		}
	}
}

func TestACallUnderWhichAServerCrashedIsSentToOneServerBeyondItsAttempts(t *testing.T) {
	for name, last := range map[string]response{"that is mute": mute, "that crashes": crashAfter(20 * time.Millisecond)} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				s := newOrderedService(8, crashAfter(20*time.Millisecond), mute, last)
				g.Expect(newForwarder(s, 8)(routes.Idempotent, 2, "").Code).To(Equal(http.StatusGatewayTimeout))
				synctest.Wait()
				g.Expect(s.sentTo).To(HaveLen(3))
			})
		})
	}
}

func TestACallThatCrashesServersSlowlyIsNotSentToTheLastOne(t *testing.T) {
	for _, spread := range []time.Duration{40, 80} {
		for _, delay := range []time.Duration{0, 20, 60, 100, 200, 300} {
			t.Run(fmt.Sprintf("after %d ms, the second %d ms later", delay, spread), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					g := NewWithT(t)
					first, second := delay*time.Millisecond, (delay+spread)*time.Millisecond
					s := newOrderedService(3, crashAfter(first), crashAfter(second), crashAfter(first))
					g.Expect(newForwarder(s, 3)(routes.Idempotent, 3, "").Code).To(Equal(http.StatusBadGateway))
					synctest.Wait()
					g.Expect(s.sentTo).To(HaveLen(2), "one server is left")
				})
			})
		}
	}
}
