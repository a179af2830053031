package forward_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"wisteriafield/internal/backend/server"
	"wisteriafield/internal/config/routes"
)

// countingBudget is a retry budget that counts what it gives.
type countingBudget struct {
	exhaustedUntil time.Time
	given          int
	returned       int
}

func (b *countingBudget) Allow(_ string, now time.Time) bool {
	if now.Before(b.exhaustedUntil) {
		return false
	}
	b.given++
	return true
}

func (b *countingBudget) Return(string, time.Time, time.Time) { b.returned++ }

func (b *countingBudget) NextAt(_ string, now time.Time) time.Time {
	if now.Before(b.exhaustedUntil) {
		return b.exhaustedUntil
	}
	return now
}

func TestARetryThatNoServerCanGetTakesNothingFromTheBudget(t *testing.T) {
	for name, c := range map[string]struct {
		kind     routes.Kind
		response func(s *fakeService) func(context.Context) (*server.Answer, error)
	}{
		"hedge": {routes.Idempotent, func(s *fakeService) func(context.Context) (*server.Answer, error) {
			return s.respond(200, 90*time.Millisecond)
		}},
		"retry of an idempotent":  {routes.Idempotent, func(s *fakeService) func(context.Context) (*server.Answer, error) { return s.respond(500, 0) }},
		"retry after a rejection": {routes.NonIdempotent, func(*fakeService) func(context.Context) (*server.Answer, error) { return refuse }},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				budget := &countingBudget{}
				s := &fakeService{budget: budget}
				s.responses = map[string]func(context.Context) (*server.Answer, error){"i-0": c.response(s)}
				newForwarder(s, 1)(c.kind, 2, "")
				g.Expect(s.sentTo).To(HaveLen(1))
				g.Expect(budget.given).To(BeZero())
			})
		})
	}
}

func TestARetryThatCouldNotBeSentIsNotTakenFromTheBudgetAgain(t *testing.T) {
	for name, c := range map[string]struct {
		kind  routes.Kind
		first func(s *fakeService) func(context.Context) (*server.Answer, error)
	}{
		"idempotent":     {routes.Idempotent, func(s *fakeService) func(context.Context) (*server.Answer, error) { return s.loseAnswer }},
		"non-idempotent": {routes.NonIdempotent, func(*fakeService) func(context.Context) (*server.Answer, error) { return refuse }},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				budget := &countingBudget{}
				s := &fakeService{budget: budget}
				s.responses = map[string]func(context.Context) (*server.Answer, error){"i-0": c.first(s), "i-1": unreachable, "i-2": unreachable}
				newForwarder(s, 3)(c.kind, 3, "")
				g.Expect(s.sentTo).To(ConsistOf("i-0", "i-1", "i-2"))
				g.Expect(budget.given).To(BeNumerically("<=", 1))
			})
		})
	}
}

// In an outage such retries would leave none for calls that a server could get.
func TestARetryThatCouldNotBeSentGoesBackToTheBudget(t *testing.T) {
	for name, c := range map[string]struct {
		kind  routes.Kind
		first func(s *fakeService) func(context.Context) (*server.Answer, error)
	}{
		"idempotent":     {routes.Idempotent, func(s *fakeService) func(context.Context) (*server.Answer, error) { return s.loseAnswer }},
		"non-idempotent": {routes.NonIdempotent, func(*fakeService) func(context.Context) (*server.Answer, error) { return refuse }},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				budget := &countingBudget{}
				s := &fakeService{budget: budget}
				s.responses = map[string]func(context.Context) (*server.Answer, error){"i-0": c.first(s), "i-1": unreachable}
				newForwarder(s, 2)(c.kind, 3, "")
				g.Expect(s.sentTo).To(Equal([]string{"i-0", "i-1"}))
				g.Expect(budget.given).To(Equal(1))
				g.Expect(budget.returned).To(Equal(1))
			})
		})
	}
}
