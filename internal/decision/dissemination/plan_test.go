package dissemination_test

import (
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"wisteriafield/internal/decision/dissemination"
)

// fleet plays the signs of life of n routers by their plan. It returns how often a
// live peer counted as lost, as a share of all looks, and the time after which all
// took a dead one as lost.
func fleet(n int) (mistaken float64, found time.Duration) {
	const step = 100 * time.Millisecond
	const dies = 30 * time.Second
	r := rand.New(rand.NewPCG(1, uint64(n)))
	plan := dissemination.NewPlan(n - 1)
	seen := make([][]time.Duration, n) // newest sign of life of the second, at the first
	next := make([]time.Duration, n)
	for i := range seen {
		seen[i] = make([]time.Duration, n)
		next[i] = time.Duration(r.Int64N(int64(plan.IdleInterval)))
	}
	looks, wrong := 0, 0
	for now := time.Duration(0); now < time.Minute; now += step {
		for i := range n {
			if now < next[i] || i == 0 && now >= dies {
				continue
			}
			next[i] += plan.IdleInterval
			seen[i][i] = now
			for _, to := range r.Perm(n)[:min(n, plan.FanOut+1)] {
				seen[to][i] = now
				for _, about := range r.Perm(n)[:min(n, plan.RelayedHeartbeats)] {
					if now-seen[i][about] < plan.PeerTimeout {
						seen[to][about] = max(seen[to][about], seen[i][about])
					}
				}
			}
		}
		if now < 10*time.Second {
			continue
		}
		alive := 0
		for i := 1; i < n; i++ {
			for j := 1; j < n; j++ {
				looks++
				if i != j && now-seen[i][j] > plan.PeerTimeout {
					wrong++
				}
			}
			if now-seen[i][0] <= plan.PeerTimeout {
				alive++
			}
		}
		if now > dies && alive == 0 && found == 0 {
			found = now - dies
		}
	}
	return float64(wrong) / float64(looks), found
}

func TestLivePeersAreKnownAndDeadOnesFoundAtEverySize(t *testing.T) {
	g := NewWithT(t)
	for _, c := range []struct {
		n     int
		found time.Duration
	}{{6, 3 * time.Second}, {8, 3 * time.Second}, {30, 6 * time.Second}, {76, 6 * time.Second}, {345, 15 * time.Second}} {
		mistaken, found := fleet(c.n)
		t.Logf("%d routers: %.4f of live peers taken as lost, a dead one found after %s", c.n, mistaken, found)
		g.Expect(mistaken).To(BeNumerically("<", 0.02), "%d routers", c.n)
		g.Expect(found).To(And(BeNumerically(">", 0), BeNumerically("<=", c.found)), "%d routers", c.n)
	}
}

func TestTheMessagesOfARouterDoNotGrowWithTheFleet(t *testing.T) {
	g := NewWithT(t)
	for _, n := range []int{30, 76, 345, 1000} {
		plan := dissemination.NewPlan(n)
		signs := float64(plan.FanOut*plan.RelayedHeartbeats) / plan.IdleInterval.Seconds()
		g.Expect(signs).To(BeNumerically("<=", 160), "%d peers", n)
	}
}
