package limit_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"wisteriafield/internal/decision/limit"
)

var start = time.Date(2026, 12, 4, 9, 0, 0, 0, time.UTC)

func TestABucketNeverGrantsMoreThanItsRateAndBurst(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rate := float64(rapid.IntRange(1, 1000).Draw(t, "rate"))
		bucket := limit.NewBucket(rate, start)
		now, granted := start, 0.0
		for range rapid.IntRange(1, 50).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 2000).Draw(t, "ms")) * time.Millisecond)
			granted += bucket.Grant(float64(rapid.IntRange(0, 3000).Draw(t, "want")), now)
		}
		maxGranted := rate * (now.Sub(start) + limit.Burst).Seconds()
		if granted > maxGranted+1e-6 {
			t.Fatalf("granted %v tokens of at most %v", granted, maxGranted)
		}
	})
}

func TestReadyAtIsWhenTheFullAmountCanBeGranted(t *testing.T) {
	g := NewWithT(t)
	bucket := limit.NewBucket(100, start)
	g.Expect(bucket.Grant(400, start)).To(Equal(400.0))
	at := bucket.ReadyAt(50, start)
	g.Expect(at).To(Equal(start.Add(500 * time.Millisecond)))
	g.Expect(bucket.Grant(50, at)).To(Equal(50.0))
}

func TestAnAllowanceExpires(t *testing.T) {
	g := NewWithT(t)
	var allowance limit.Allowance
	allowance.Add(100, start)
	g.Expect(allowance.Spend(60, start)).To(BeTrue())
	g.Expect(allowance.Spend(60, start)).To(BeFalse())
	g.Expect(allowance.Spend(10, start.Add(limit.LeaseTTL+time.Millisecond))).To(BeFalse())
}

func TestAnEntrySpendsItsOwnShareWhileTheOwnerIsUnreachable(t *testing.T) {
	g := NewWithT(t)
	var allowance limit.Allowance
	admitted := 0
	for i := range 1000 {
		if allowance.SpendShare(10, 1000, 10, start.Add(time.Duration(i)*10*time.Millisecond)) {
			admitted++
		}
	}
	// A tenth of 1000 tokens per second for 10 s, plus the burst.
	g.Expect(admitted * 10).To(BeNumerically("~", 1000+400, 20))
}

func TestARetryBudgetAllowsAShareOfOrdinaryCalls(t *testing.T) {
	g := NewWithT(t)
	budget := limit.NewRetryBudget(0.1)
	allowed := 0
	for range 1000 {
		budget.Deposit()
		if budget.Withdraw() {
			allowed++
		}
	}
	g.Expect(allowed).To(BeNumerically("~", 100+20, 2))
}
