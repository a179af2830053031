package limit_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"wisteriafield/internal/decision/limit"
)

var start = time.Date(2026, 12, 4, 9, 0, 0, 0, time.UTC)

func TestABucketNeverGivesMoreThanItsRateAndBurst(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rate := float64(rapid.IntRange(1, 1000).Draw(t, "rate"))
		b := limit.NewBucket(rate, start)
		now, given := start, 0.0
		for range rapid.IntRange(1, 50).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 2000).Draw(t, "ms")) * time.Millisecond)
			given += b.Grant(float64(rapid.IntRange(0, 3000).Draw(t, "want")), now)
		}
		most := rate * (now.Sub(start) + limit.Burst).Seconds()
		if given > most+1e-6 {
			t.Fatalf("gave %v of at most %v", given, most)
		}
	})
}

func TestReadyAtIsWhenAGrantIsWhole(t *testing.T) {
	g := NewWithT(t)
	b := limit.NewBucket(100, start)
	g.Expect(b.Grant(400, start)).To(Equal(400.0))
	at := b.ReadyAt(50, start)
	g.Expect(at).To(Equal(start.Add(500 * time.Millisecond)))
	g.Expect(b.Grant(50, at)).To(Equal(50.0))
}

func TestAnAllowanceLapses(t *testing.T) {
	g := NewWithT(t)
	var a limit.Allowance
	a.Add(100, start)
	g.Expect(a.Spend(60, start)).To(BeTrue())
	g.Expect(a.Spend(60, start)).To(BeFalse())
	g.Expect(a.Spend(10, start.Add(limit.LeaseTTL+time.Millisecond))).To(BeFalse())
}

func TestWithoutItsHomeAnEntryHasItsShare(t *testing.T) {
	g := NewWithT(t)
	var a limit.Allowance
	passed := 0
	for i := range 1000 {
		if a.SpendShare(10, 1000, 10, start.Add(time.Duration(i)*10*time.Millisecond)) {
			passed++
		}
	}
	// A tenth of 1000 tokens a second for 10 s, and the burst.
	g.Expect(passed * 10).To(BeNumerically("~", 1000+400, 20))
}

func TestABudgetIsAShareOfTheCalls(t *testing.T) {
	g := NewWithT(t)
	b := limit.NewRetryBudget(0.1)
	allowed := 0
	for range 1000 {
		b.Deposit()
		if b.Withdraw() {
			allowed++
		}
	}
	g.Expect(allowed).To(BeNumerically("~", 100+20, 2))
}
