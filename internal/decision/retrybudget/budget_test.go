package retrybudget_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"wisteriafield/internal/decision/retrybudget"
)

var config = retrybudget.Config{Ratio: 0.5, Slack: 4, Window: 10 * time.Second, Routers: func() int { return 1 }}

func TestRepeatsAreBoundedByFirstSends(t *testing.T) {
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
	g.Expect(b.Allow("other", now)).To(BeTrue(), "services do not share")
	g.Expect(b.Allow("desk", now.Add(11*time.Second))).To(BeTrue(), "the window moved on")
}

func TestNoWindowHoldsMoreThanItsBudget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := retrybudget.New(config, time.Unix(0, 0))
		now := time.Unix(100, 0)
		var firsts, repeated []time.Time
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 900).Draw(t, "pause")) * time.Millisecond)
			if rapid.Bool().Draw(t, "first") {
				b.RecordFirstAttempt("desk", now)
				firsts = append(firsts, now)
			} else if b.Allow("desk", now) {
				repeated = append(repeated, now)
			}
		}
		for _, end := range repeated {
			if float64(within(repeated, end)) > config.Ratio*float64(len(firsts))+config.Slack+1 {
				t.Fatalf("%d repeats end at %v", within(repeated, end), end)
			}
		}
	})
}

// within counts the times in the nine tenths of a window up to end, which the
// counted slots surely cover.
func within(times []time.Time, end time.Time) int {
	n := 0
	for _, at := range times {
		if !at.After(end) && end.Sub(at) < config.Window*9/10 {
			n++
		}
	}
	return n
}

// Found on grown Scordia quiet-1: with 3 requests in a window, a router that lost two
// streams had no repeats left while the fleet used a quarter of its budget.
func TestARouterMayUseWhatTheOthersLeave(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(100, 0)
	for _, c := range []struct {
		name string
		mean retrybudget.Counts
		want int
	}{
		{"nothing heard", retrybudget.Counts{}, 6},
		{"the others need little", retrybudget.Counts{FirstAttempts: 4, Retries: 1}, 15},
		{"the others need all", retrybudget.Counts{FirstAttempts: 4, Retries: 6}, 6},
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

// All routers lose their streams at once, again and again, and each wants more
// repeats than there are.
func TestAFleetInTroubleStaysWithinItsBudget(t *testing.T) {
	g := NewWithT(t)
	const n = 76
	cfg := retrybudget.Config{Ratio: 0.56, Slack: 105, Window: 10 * time.Second, Routers: func() int { return n }}
	now := time.Unix(100, 0)
	var fleet []*retrybudget.Budget
	for range n {
		fleet = append(fleet, retrybudget.New(cfg, time.Unix(0, 0)))
	}
	const bound = 0.8 // of the requests, and 150: the users' figures
	var firsts, repeated []time.Time
	for step := range 600 {
		now = now.Add(50 * time.Millisecond)
		for i, b := range fleet {
			if (step+i)%54 == 0 { // 0.37 requests a second
				b.RecordFirstAttempt("writers", now)
				firsts = append(firsts, now)
			}
			if step > 200 && (step*7+i)%4 == 0 && b.Allow("writers", now) {
				repeated = append(repeated, now)
			}
			if (step+i)%12 == 0 {
				for k := 1; k <= 4; k++ {
					fleet[(i+k*(step+7))%n].MergePeerCounts(b.OwnCounts(now), now)
				}
			}
		}
	}
	for _, end := range repeated {
		g.Expect(float64(within(repeated, end))).To(BeNumerically("<=", bound*float64(within(firsts, end))+150))
	}
	g.Expect(len(repeated)).To(BeNumerically(">", 300), "repeats there were")
}
