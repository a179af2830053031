package dissemination_test

import (
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"wisteriafield/internal/decision/dissemination"
)

// simulateFleet simulates the heartbeats of n routers under their plan. It returns the
// fraction of checks in which a live peer counted as lost, and the time after which all
// routers counted a dead one as lost.
func simulateFleet(n int) (falsePositiveRate float64, detectionTime time.Duration) {
	const step = 100 * time.Millisecond
	const diesAt = 30 * time.Second
	r := rand.New(rand.NewPCG(1, uint64(n)))
	plan := dissemination.NewPlan(n - 1)
	seen := make([][]time.Duration, n) // seen[i][j]: newest heartbeat of j that i has
	next := make([]time.Duration, n)
	for i := range seen {
		seen[i] = make([]time.Duration, n)
		next[i] = time.Duration(r.Int64N(int64(plan.IdleInterval)))
	}
	checks, falsePositives := 0, 0
	for now := time.Duration(0); now < time.Minute; now += step {
		for i := range n {
			if now < next[i] || i == 0 && now >= diesAt {
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
		seenLive := 0
		for i := 1; i < n; i++ {
			for j := 1; j < n; j++ {
				checks++
				if i != j && now-seen[i][j] > plan.PeerTimeout {
					falsePositives++
				}
			}
			if now-seen[i][0] <= plan.PeerTimeout {
				seenLive++
			}
		}
		if now > diesAt && seenLive == 0 && detectionTime == 0 {
			detectionTime = now - diesAt
		}
	}
	return float64(falsePositives) / float64(checks), detectionTime
}

func TestLivePeersStayKnownAndDeadOnesAreDetected(t *testing.T) {
	g := NewWithT(t)
	for _, c := range []struct {
		n                int
		maxDetectionTime time.Duration
	}{{6, 3 * time.Second}, {8, 3 * time.Second}, {30, 6 * time.Second}, {76, 6 * time.Second}, {345, 15 * time.Second}} {
		falsePositiveRate, detectionTime := simulateFleet(c.n)
		t.Logf("%d routers: %.4f of live peers counted as lost, a dead one detected after %s", c.n, falsePositiveRate, detectionTime)
		g.Expect(falsePositiveRate).To(BeNumerically("<", 0.02), "%d routers", c.n)
		g.Expect(detectionTime).To(And(BeNumerically(">", 0), BeNumerically("<=", c.maxDetectionTime)), "%d routers", c.n)
	}
}

func TestRelayedHeartbeatsDoNotGrowWithTheFleet(t *testing.T) {
	g := NewWithT(t)
	for _, n := range []int{30, 76, 345, 1000} {
		plan := dissemination.NewPlan(n)
		heartbeatRate := float64(plan.FanOut*plan.RelayedHeartbeats) / plan.IdleInterval.Seconds()
		g.Expect(heartbeatRate).To(BeNumerically("<=", 160), "%d peers", n)
	}
}
