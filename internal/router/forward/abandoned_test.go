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

// newUnheededService returns a service whose n servers end so long after they began to run a
// request, whether its connection is still open or not.
func newUnheededService(n int, crashAfter time.Duration) *fakeService {
	s := &fakeService{ended: make(map[string]bool), responses: make(map[string]response)}
	for i := range n {
		address := fmt.Sprintf("10.0.0.%d:1", i+1)
		s.responses[fmt.Sprintf("i-%d", i)] = func(ctx context.Context) (*server.Answer, error) {
			if s.hasEnded(address) {
				return unreachable(ctx)
			}
			crashed := make(chan bool)
			time.AfterFunc(crashAfter, func() {
				s.mu.Lock()
				defer s.mu.Unlock()
				s.ended[address] = true
				close(crashed)
			})
			select {
			case <-ctx.Done():
				return nil, fmt.Errorf("%w: %w", ctx.Err(), server.ErrLost)
			case <-crashed:
				return nil, fmt.Errorf("EOF: %w", server.ErrLost)
			}
		}
	}
	return s
}

func (s *fakeService) hasEnded(address string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.ended[address]
}

func (s *fakeService) endedCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.ended)
}

func (s *fakeService) checked() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.listened
}

// Guards against a call that crashes one server after the other and is never suspected, as its
// callers leave before each crash (review/8).
func TestACallWhoseCallersLeaveBeforeItCrashesServersIsRefused(t *testing.T) {
	for _, kind := range []routes.Kind{routes.NonIdempotent, routes.Idempotent} {
		for _, left := range []time.Duration{1, 20, 50, 100, 800} { // ms before the crash
			t.Run(fmt.Sprintf("%s, %d ms before", kind, left), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					g := NewWithT(t)
					s := newUnheededService(12, 20*time.Millisecond+left*time.Millisecond)
					s.leaveAfter = 20 * time.Millisecond
					send := newForwarder(s, 12)
					for range 8 {
						send(kind, 1, "")
						time.Sleep(time.Second)
					}
					g.Expect(s.endedCount()).To(Equal(3))
					s.leaveAfter = 0
					res := send(kind, 1, "")
					g.Expect(res.Code).To(Equal(http.StatusServiceUnavailable))
					g.Expect(res.Header().Get("Retry-After")).To(HavePrefix("29"), "until the end of the block")
				})
			})
		}
	}
}

// Guards against a call that crashes servers after its time is up, and is never suspected.
func TestACallWhoseTimeIsUpBeforeItCrashesServersIsRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		s := newUnheededService(8, 1100*time.Millisecond)
		send := newForwarder(s, 8)
		for range 8 {
			send(routes.NonIdempotent, 1, "")
			time.Sleep(time.Second)
		}
		g.Expect(s.endedCount()).To(Equal(3))
		g.Expect(send(routes.NonIdempotent, 1, "").Code).To(Equal(http.StatusServiceUnavailable))
	})
}

// Guards against a crash that is forgotten since the check right after it gave no result.
func TestACallThatCrashesServersWhoseChecksTakeLongIsRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		s := newUnheededService(8, 60*time.Millisecond)
		s.checkTime = 100 * time.Millisecond
		send := newForwarder(s, 8)
		for range 8 {
			send(routes.NonIdempotent, 1, "")
			time.Sleep(time.Second)
		}
		g.Expect(s.endedCount()).To(Equal(3))
		g.Expect(send(routes.NonIdempotent, 1, "").Code).To(Equal(http.StatusServiceUnavailable))
	})
}

// Guards against checks of servers that were slow with a call which another one has answered: it
// crashes none.
func TestServersOfACallThatWasAnsweredAreNotChecked(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		s := &fakeService{}
		s.responses = map[string]response{"i-0": s.respond(http.StatusOK, time.Hour)}
		g.Expect(serve(s, routes.Idempotent, 2).Code).To(Equal(http.StatusOK))
		time.Sleep(5 * time.Second)
		g.Expect(s.sentTo).To(HaveLen(2))
		g.Expect(s.checked()).To(BeZero())
	})
}
