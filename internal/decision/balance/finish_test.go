package balance_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"wisteriafield/internal/decision/balance"
	"wisteriafield/internal/decision/enginespeed"
	"wisteriafield/internal/trial/enginesim"
)

func TestFinishCostPrefersTheEarliestCompletionOfAll(t *testing.T) {
	g := NewWithT(t)
	speed := func(f float64) enginespeed.Speed {
		return enginespeed.Speed{TokenTime: time.Duration(f * 5e6), PrefillTokensPerMs: 5 / f}
	}
	for _, c := range []struct {
		name              string
		better, worse     balance.Engine
		betterIs, worseIs enginespeed.Speed
	}{
		{"a fast engine", balance.Engine{}, balance.Engine{}, speed(0.6), speed(1)},
		{"an idle engine", balance.Engine{}, balance.Engine{Running: 1}, speed(1), speed(1)},
		{"an idle slow engine before a fast one with a queue", balance.Engine{}, balance.Engine{Running: 2, QueuedTokens: 10_000}, speed(1.6), speed(1)},
		{"an engine whose prompts are prefilled", balance.Engine{Running: 2}, balance.Engine{Running: 2, QueuedTokens: 5000}, speed(1), speed(1)},
		{"any engine before a full one", balance.Engine{Running: 9, QueuedTokens: 45_000}, balance.Engine{Slots: 1, Running: 1}, speed(1.6), speed(0.6)},
		{"any engine before one without memory", balance.Engine{Running: 9, QueuedTokens: 45_000}, balance.Engine{UsedTokens: 46_000, Capacity: 55_000}, speed(1.6), speed(0.6)},
		{"an unknown engine as a typical one", balance.Engine{}, balance.Engine{}, enginespeed.Speed{}, speed(1.01)},
	} {
		g.Expect(balance.FinishCost(c.better, c.betterIs, 5000, 800)).To(BeNumerically("<", balance.FinishCost(c.worse, c.worseIs, 5000, 800)), c.name)
	}
	g.Expect(balance.FinishTime(balance.Engine{QueuedTokens: 5000}, speed(1), 5000, 800)).To(BeNumerically("~", 6*time.Second, time.Millisecond))
}

func pickToday(candidates []balance.Engine, _ []enginespeed.Speed, prompt, output int, random float64) int {
	return balance.PickEngine(candidates, prompt, output, nil, random)
}

func pickEarliest(candidates []balance.Engine, speeds []enginespeed.Speed, prompt, output int, _ float64) int {
	best, lowest, median := 0, 0.0, enginespeed.Median(speeds)
	for i, c := range candidates {
		if cost := balance.FinishCost(c, speeds[i].OrElse(median), prompt, output); i == 0 || cost < lowest {
			best, lowest = i, cost
		}
	}
	return best
}

// Guards against a cost that serves one fleet or one load at the expense of another, and against
// one that needs exact speeds.
func TestAttemptsFinishSoonerThanByFourProbes(t *testing.T) {
	for name, fleet := range map[string]enginesim.Fleet{"A": enginesim.FleetA(), "B": enginesim.FleetB()} {
		for _, load := range []float64{0.6, 1, 1.2} {
			t.Run(fmt.Sprintf("%s/%g", name, load), func(t *testing.T) {
				t.Parallel()
				g := NewWithT(t)
				fleet := fleet
				fleet.PerSecond *= load
				probed, informed, wrong := fleet, fleet, fleet
				probed.Sample, probed.LoadAge = 4, 100
				wrong.Learn, wrong.SpeedError = false, 1.5
				before, pace, after, misled := probed.Run(pickToday), informed.Run(pickToday), fleet.Run(pickEarliest), wrong.Run(pickEarliest)
				t.Logf("four probes %+v, pace %+v, learned speeds %+v, speeds wrong by half %+v", before, pace, after, misled)
				g.Expect(after.Mean).To(BeNumerically("<", 0.95*before.Mean))
				g.Expect(after.P90).To(BeNumerically("<", 0.95*before.P90))
				g.Expect(after.Lost).To(BeNumerically("<=", before.Lost))
				g.Expect(after.Mean).To(BeNumerically("<", pace.Mean), "with the same loads")
				g.Expect(misled.Mean).To(BeNumerically("<", before.Mean))
				g.Expect(after.Whole).To(BeNumerically(">=", before.Whole), "no more are lost or late")
				if load == 1 {
					g.Expect(after.Mean).To(BeNumerically("<", 6_500))
					g.Expect(after.P90).To(BeNumerically("<", map[string]float64{"A": 6_000, "B": 8_700}[name]))
				}
			})
		}
	}
}
