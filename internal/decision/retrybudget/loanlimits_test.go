package retrybudget_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"wisteriafield/internal/decision/retrybudget"
)

// A router that was cut off from its peers takes the whole slack for its own. Peers that hear it
// again before it hears them would get loans from it.
func TestALenderThatKnowsFewRoutersLendsByThoseThatTheBorrowerKnows(t *testing.T) {
	g := NewWithT(t)
	cfg := retrybudget.Config{Slack: 120, Window: 10 * time.Second, Lending: true, Routers: func() int { return 1 }}
	b := retrybudget.New(cfg, time.Unix(0, 0))
	g.Expect(b.Lend("desk", 16, 36, time.Unix(100, 0))).To(Equal(2), "half of 120 for 36")
	g.Expect(b.Lend("desk", 16, -1, time.Unix(100, 0))).To(Equal(16))
}

// The lender counts a loan. A returned one once freed an own retry, so that the fleet had one more.
func TestALoanThatIsReturnedDoesNotFreeAnOwnRetry(t *testing.T) {
	g := NewWithT(t)
	b := retrybudget.New(config, time.Unix(0, 0))
	now := time.Unix(100, 0)
	for b.Allow("desk", now) {
	}
	b.AddLoan("desk", 1, now, now)
	g.Expect(b.Allow("desk", now)).To(BeTrue())
	b.Return("desk", now, now)
	g.Expect(b.OwnCounts(now)["desk"].Retries).To(BeEquivalentTo(4))
	g.Expect(b.Allow("desk", now)).To(BeFalse())
	b.Return("desk", now, now)
	g.Expect(b.Allow("desk", now)).To(BeTrue(), "an own one that is returned is free")
}

// Buckets are shorter than LoanTime in short windows, and lenders count two more of them.
func TestALoanEndsWhileItsLenderCountsItInAShortWindow(t *testing.T) {
	for _, window := range []time.Duration{time.Second, 5 * time.Second, 10 * time.Second} {
		g := NewWithT(t)
		cfg := retrybudget.Config{Slack: 4, Window: window, Lending: true, Routers: func() int { return 1 }}
		lender, borrower := retrybudget.New(cfg, time.Unix(0, 0)), retrybudget.New(cfg, time.Unix(0, 0))
		lentAt := time.Unix(100, 0).Add(window/10 - time.Millisecond)
		lent := lender.Lend("desk", 1, 1, lentAt)
		g.Expect(lent).To(Equal(1))
		for borrower.Allow("desk", lentAt) {
		}
		borrower.AddLoan("desk", lent, lentAt, lentAt)
		usedAt := lentAt
		for at := lentAt; at.Before(lentAt.Add(2 * time.Second)); at = at.Add(10 * time.Millisecond) {
			probe := retrybudget.New(cfg, time.Unix(0, 0))
			for probe.Allow("desk", at) {
			}
			probe.AddLoan("desk", lent, lentAt, at)
			if probe.Allow("desk", at) {
				usedAt = at
			}
		}
		end := usedAt.Add(window - time.Millisecond)
		g.Expect(lender.OwnCounts(end)["desk"].Retries).To(BeEquivalentTo(1), window.String())
	}
}

// After a step of the wall clock, a router counted no retry as past, or all of them.
func TestRetriesAreForetoldByTheMonotonicClock(t *testing.T) {
	g := NewWithT(t)
	now := time.Now()
	b := retrybudget.New(config, now.Add(-time.Minute))
	for b.Allow("desk", now) {
	}
	g.Expect(b.NextAt("desk", now).String()).To(ContainSubstring(" m="), "the time has a monotonic reading")
}

// Loans that end were behind one that ends later, if answers overtake each other.
func TestTheLoanThatEndsFirstIsUsedFirst(t *testing.T) {
	g := NewWithT(t)
	b := retrybudget.New(config, time.Unix(0, 0))
	now := time.Unix(100, 0)
	for b.Allow("desk", now) {
	}
	b.AddLoan("desk", 1, now.Add(300*time.Millisecond), now.Add(310*time.Millisecond))
	b.AddLoan("desk", 1, now, now.Add(320*time.Millisecond))
	g.Expect(b.Allow("desk", now.Add(900*time.Millisecond))).To(BeTrue())
	g.Expect(b.Allow("desk", now.Add(1200*time.Millisecond))).To(BeTrue())
}

// Routers measured their shares by the largest of three windows each. For few requests a router,
// the sum of these is a fifth larger than the largest sum, and a fleet that needed all it could get came to 1.04 of
// its budget.
func TestAFleetThatNeedsAllItsRetriesStaysWithinItsBudget(t *testing.T) {
	for _, n := range []int{36, 100} {
		t.Run(fmt.Sprint(n, " routers"), func(t *testing.T) {
			g := NewWithT(t)
			_, most, waiting := crashes(n, 0.9, true)
			g.Expect(waiting).To(BeNumerically(">", 0), "the budget binds")
			t.Logf("%.2f of the budget, %d streams wait", most, waiting)
			g.Expect(most).To(BeNumerically("<=", 0.95))
		})
	}
}
