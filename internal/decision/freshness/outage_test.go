package freshness_test

import (
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// outageTime is how long the simulated outage lasts.
const outageTime = 8 * time.Second

// A fleet that tries every second would call thousands of times. Each router may try once, beside the turns.
func TestAnOutageOfTheStoreCostsOneTryOfEachRouterBesideTheTurns(t *testing.T) {
	for _, n := range []int{6, 36, 79, 340} {
		change := 4 * time.Second
		if c, ok := changeTimes[n]; ok {
			change = c
		}
		f := newFleet(n, change, func(int, int, time.Duration) (bool, bool, bool) { return true, true, true })
		f.random = rand.New(rand.NewPCG(1, uint64(n)))
		f.reaching = map[int]bool{}
		for f.now.Sub(now) <= settleTime {
			f.advance()
		}
		calls, worst := f.calls, 0
		for range int(outageTime / time.Second) {
			before := f.calls
			for range int(time.Second / step) {
				f.advance()
			}
			worst = max(worst, f.calls-before)
		}
		calls = f.calls - calls
		t.Logf("%d routers: %d calls in %s, %d in the worst second", n, calls, outageTime, worst)
		turns := outageTime.Seconds() * (16 + 0.05*float64(n))
		NewWithT(t).Expect(calls).To(BeNumerically("<=", float64(n)+turns), "%d routers", n)
	}
}
