package forward_test

import (
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"wisteriafield/internal/config/routes"
)

// lentBudget is a retry budget that is exhausted until peers lend retries.
type lentBudget struct {
	mu    sync.Mutex
	until time.Time
}

func (b *lentBudget) Allow(_ string, now time.Time) bool { return !now.Before(b.NextAt("", now)) }

func (b *lentBudget) NextAt(_ string, now time.Time) time.Time {
	b.mu.Lock()
	defer b.mu.Unlock()
	if now.Before(b.until) {
		return b.until
	}
	return now
}

func (b *lentBudget) Return(string, time.Time, time.Time) {}

func (b *lentBudget) release() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.until = time.Time{}
}

// lend exhausts the service's budget for a minute and makes peers lend retries: they answer after
// a while.
func (s *fakeService) lend(retries bool, after time.Duration) (requests *int) {
	requests = new(int)
	budget := &lentBudget{until: time.Now().Add(time.Minute)}
	s.budget = budget
	s.borrow = func(string, int) <-chan struct{} {
		*requests++
		changed := make(chan struct{})
		time.AfterFunc(after, func() {
			if retries {
				budget.release()
			}
			close(changed)
		})
		return changed
	}
	return requests
}

// Without a loan it is failed at once, since its own budget has no retry in time.
func TestACallWhoseServerIsLostWaitsForOneAnswerOfThePeers(t *testing.T) {
	for lends, code := range map[bool]int{true: http.StatusOK, false: http.StatusBadGateway} {
		synctest.Test(t, func(t *testing.T) {
			g := NewWithT(t)
			s := newExhaustedService(time.Minute, func(s *fakeService) response { return s.loseAnswer })
			s.lend(lends, 5*time.Millisecond)
			startedAt := time.Now()
			g.Expect(newForwarder(s, 2)(routes.Idempotent, 2, "").Code).To(Equal(code))
			g.Expect(time.Since(startedAt)).To(BeNumerically("<", 50*time.Millisecond))
		})
	}
}

// What no server has executed is refused at once, and a server's own error is not held back. A loan
// for them was lost to all routers for a window.
func TestACallThatDoesNotWaitBorrowsNothing(t *testing.T) {
	for name, first := range map[string]func(s *fakeService) response{
		"refused": func(*fakeService) response { return refuse },
		"error":   func(s *fakeService) response { return s.respond(http.StatusInternalServerError, 0) },
	} {
		synctest.Test(t, func(t *testing.T) {
			g := NewWithT(t)
			s := newExhaustedService(time.Minute, first)
			requests := s.lend(true, 5*time.Millisecond)
			newForwarder(s, 2)(routes.Idempotent, 2, "")
			g.Expect(*requests).To(BeZero(), name)
		})
	}
}
