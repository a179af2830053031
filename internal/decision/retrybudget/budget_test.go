package retrybudget_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"wisteriafield/internal/decision/retrybudget"
)

var config = retrybudget.Config{Ratio: 0.5, Slack: 4, Window: 10 * time.Second, Routers: func() int { return 1 }}

func TestRetriesAreBoundedByFirstAttempts(t *testing.T) {
	g := NewWithT(t)
	b := retrybudget.New(config, time.Unix(0, 0))
	now := time.Unix(100, 0)
	for range 10 {
		b.RecordFirstAttempt("desk", now)
	}
	allowed := 0
	for range 100 {
		if b.Allow("desk", now) {
			allowed++
		}
	}
	g.Expect(allowed).To(Equal(9))
	g.Expect(b.Allow("other", now)).To(BeTrue(), "each service has its own budget")
	g.Expect(b.Allow("desk", now.Add(11*time.Second))).To(BeTrue(), "the earlier retries left the window")
}

func TestARetryThatIsReturnedIsAllowedOnceMore(t *testing.T) {
	g := NewWithT(t)
	b := retrybudget.New(config, time.Unix(0, 0))
	now := time.Unix(100, 0)
	for range 4 {
		g.Expect(b.Allow("desk", now)).To(BeTrue())
	}
	later := now.Add(3 * time.Second)
	g.Expect(b.Allow("desk", later)).To(BeFalse())
	b.Return("desk", now, later)
	g.Expect(b.Allow("desk", later)).To(BeTrue())
	g.Expect(b.Allow("desk", later)).To(BeFalse())
	b.Return("desk", now, later.Add(time.Minute))
	b.Return("other", now, later)
	g.Expect(b.OwnCounts(later.Add(time.Minute))).To(HaveKeyWithValue("other", retrybudget.Counts{}))
}

func TestNoWindowExceedsItsBudget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := retrybudget.New(config, time.Unix(0, 0))
		now := time.Unix(100, 0)
		var firstAttempts, retries []time.Time
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 900).Draw(t, "pause")) * time.Millisecond)
			if rapid.Bool().Draw(t, "first") {
				b.RecordFirstAttempt("desk", now)
				firstAttempts = append(firstAttempts, now)
			} else if b.Allow("desk", now) {
				retries = append(retries, now)
			}
		}
		for _, end := range retries {
			if float64(countWithin(retries, end)) > config.Ratio*float64(len(firstAttempts))+config.Slack+1 {
				t.Fatalf("%d retries in the window that ends at %v", countWithin(retries, end), end)
			}
		}
	})
}

// countWithin counts the times in the nine tenths of a window up to end: the newest
// bucket may have only begun, so the counted buckets cover no more for certain.
func countWithin(times []time.Time, end time.Time) int {
	n := 0
	for _, at := range times {
		if !at.After(end) && end.Sub(at) < config.Window*9/10 {
			n++
		}
	}
	return n
}

// A router with 3 requests in a window that lost two streams had no retries left while
// the fleet used a quarter of its budget.
func TestRouterBorrowsUnusedBudgetOfPeers(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(100, 0)
	for _, c := range []struct {
		name string
		mean retrybudget.Counts
		want int
	}{
		{"no counts of peers", retrybudget.Counts{}, 6},
		{"peers retry little", retrybudget.Counts{FirstAttempts: 4, Retries: 1}, 15},
		{"peers use all of their budget", retrybudget.Counts{FirstAttempts: 4, Retries: 6}, 6},
	} {
		b := retrybudget.New(config, time.Unix(0, 0))
		for range 4 {
			b.RecordFirstAttempt("writers", now)
		}
		for range 200 {
			b.MergePeerCounts(map[string]retrybudget.Counts{"writers": c.mean}, now)
		}
		allowed := 0
		for range 100 {
			if b.Allow("writers", now) {
				allowed++
			}
		}
		g.Expect(allowed).To(BeNumerically("~", c.want, 1), c.name)
	}
}

// All routers repeatedly lose their streams at the same time, and each asks for more
// retries than its part of the budget.
func TestFleetStaysWithinItsBudgetWhenAllStreamsFail(t *testing.T) {
	g := NewWithT(t)
	const n = 76
	cfg := retrybudget.Config{Ratio: 0.56, Slack: 105, Window: 10 * time.Second, Routers: func() int { return n }}
	now := time.Unix(100, 0)
	var fleet []*retrybudget.Budget
	for range n {
		fleet = append(fleet, retrybudget.New(cfg, time.Unix(0, 0)))
	}
	const maxRetryRatio = 0.8 // retries for each request, plus 150, as the users require
	var firstAttempts, retries []time.Time
	for step := range 600 {
		now = now.Add(50 * time.Millisecond)
		for i, b := range fleet {
			if (step+i)%54 == 0 { // 0.37 requests a second of each router
				b.RecordFirstAttempt("writers", now)
				firstAttempts = append(firstAttempts, now)
			}
			if step > 200 && (step*7+i)%4 == 0 && b.Allow("writers", now) {
				retries = append(retries, now)
			}
			if (step+i)%12 == 0 {
				for k := 1; k <= 4; k++ {
					fleet[(i+k*(step+7))%n].MergePeerCounts(b.OwnCounts(now), now)
				}
			}
		}
	}
	for _, end := range retries {
		g.Expect(float64(countWithin(retries, end))).To(BeNumerically("<=", maxRetryRatio*float64(countWithin(firstAttempts, end))+150))
	}
	g.Expect(len(retries)).To(BeNumerically(">", 300), "the fleet retries at all")
}

func TestTheNextRetryIsForetold(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := retrybudget.New(config, time.Unix(0, 0))
		now := time.Unix(100, 0)
		for range rapid.IntRange(1, 100).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 900).Draw(t, "pause")) * time.Millisecond)
			if rapid.Bool().Draw(t, "first") {
				b.RecordFirstAttempt("desk", now)
			} else {
				b.Allow("desk", now)
			}
		}
		next := b.NextAt("desk", now)
		if next.IsZero() || next.Sub(now) > config.Window+time.Second {
			t.Fatalf("at %v: %v", now, next)
		}
		for at := now; at.Before(next); at = at.Add(100 * time.Millisecond) {
			if b.Allow("desk", at) {
				t.Fatalf("allowed at %v, foretold for %v", at, next)
			}
		}
		if !b.Allow("desk", next) {
			t.Fatalf("not allowed at %v as foretold", next)
		}
	})
}
