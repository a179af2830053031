package forward_test

import (
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"wisteriafield/internal/config/routes"
)

// newExhaustedService returns a service whose first server answers as given. Its router has no
// retry for a time.
func newExhaustedService(noRetryFor time.Duration, first func(s *fakeService) response) *fakeService {
	s := &fakeService{budget: &countingBudget{exhaustedUntil: time.Now().Add(noRetryFor)}}
	s.responses = map[string]response{"i-0": first(s)}
	return s
}

func TestACallWhoseServerIsLostIsNotFailedIfARetryComesInTime(t *testing.T) {
	for name, first := range map[string]func(s *fakeService) response{
		"lost":             func(s *fakeService) response { return s.loseAnswer },
		"truncated":        func(*fakeService) response { return truncateAnswer },
		"lost when hedged": func(s *fakeService) response { return crashAfter(200 * time.Millisecond) },
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				s := newExhaustedService(600*time.Millisecond, first)
				startedAt := time.Now()
				g.Expect(newForwarder(s, 2)(routes.Idempotent, 2, "").Code).To(Equal(http.StatusOK))
				g.Expect(time.Since(startedAt)).To(BeNumerically("<", 750*time.Millisecond))
				g.Expect(s.sentTo).To(Equal([]string{"i-0", "i-1"}))
			})
		})
	}
}

// Waiting gains nothing if the retry comes too late, or if no server could get it.
func TestACallWhoseServerIsLostIsFailedAtOnceIfNoRetryComesInTime(t *testing.T) {
	for name, c := range map[string]struct {
		servers    int
		noRetryFor time.Duration
	}{"too late": {2, 970 * time.Millisecond}, "no server": {1, 600 * time.Millisecond}} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				s := newExhaustedService(c.noRetryFor, func(s *fakeService) response { return s.loseAnswer })
				startedAt := time.Now()
				g.Expect(newForwarder(s, c.servers)(routes.Idempotent, 2, "").Code).To(Equal(http.StatusBadGateway))
				g.Expect(time.Since(startedAt)).To(BeNumerically("<", 10*time.Millisecond))
			})
		})
	}
}

func TestAServersOwnErrorIsNotHeldBackForARetry(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		s := newExhaustedService(600*time.Millisecond, func(s *fakeService) response { return s.respond(http.StatusInternalServerError, 0) })
		startedAt := time.Now()
		g.Expect(newForwarder(s, 2)(routes.Idempotent, 2, "").Code).To(Equal(http.StatusInternalServerError))
		g.Expect(time.Since(startedAt)).To(BeNumerically("<", 10*time.Millisecond))
	})
}

// A refusal promises that nothing was executed, so the caller comes back.
func TestACallThatNoServerExecutedIsRefusedAtOnceWithoutARetry(t *testing.T) {
	for _, kind := range []routes.Kind{routes.Idempotent, routes.NonIdempotent} {
		synctest.Test(t, func(t *testing.T) {
			g := NewWithT(t)
			s := newExhaustedService(600*time.Millisecond, func(*fakeService) response { return refuse })
			startedAt := time.Now()
			g.Expect(newForwarder(s, 2)(kind, 2, "").Code).To(Equal(http.StatusServiceUnavailable))
			g.Expect(time.Since(startedAt)).To(BeNumerically("<", 10*time.Millisecond))
		})
	}
}

func TestACallAtASilentServerIsHedgedOnceTheBudgetHasARetry(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		s := newExhaustedService(300*time.Millisecond, func(*fakeService) response { return mute })
		startedAt := time.Now()
		g.Expect(newForwarder(s, 2)(routes.Idempotent, 2, "").Code).To(Equal(http.StatusOK))
		g.Expect(time.Since(startedAt)).To(BeNumerically("<", 500*time.Millisecond))
	})
}

func TestACallThatWaitedForARetryIsNotLeftAtASilentServer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		s := newOrderedService(3, crashAfter(0), mute)
		s.gone = false
		s.budget = &countingBudget{exhaustedUntil: time.Now().Add(300 * time.Millisecond)}
		g.Expect(newForwarder(s, 3)(routes.Idempotent, 3, "").Code).To(Equal(http.StatusOK))
		g.Expect(s.sentTo).To(HaveLen(3))
	})
}
