package repeats_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"wisteriafield/internal/decision/repeats"
)

var config = repeats.Config{Ratio: 0.5, Slack: 4, Window: 10 * time.Second}

func TestRepeatsAreBoundedByFirstSends(t *testing.T) {
	g := NewWithT(t)
	b := repeats.New(config)
	now := time.Unix(100, 0)
	for range 10 {
		b.First("desk", now)
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
		b := repeats.New(config)
		now := time.Unix(100, 0)
		var firsts, repeated []time.Time
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 900).Draw(t, "pause")) * time.Millisecond)
			if rapid.Bool().Draw(t, "first") {
				b.First("desk", now)
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
