package dissemination_test

import (
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"wisteriafield/internal/decision/dissemination"
)

// simulateFleet simulates the heartbeats of n routers under their plan, which exchange at
// the same moments if they are synchronised. It returns the fraction of checks in which a
// live peer counted as lost, the most peers that one router missed at once, and the time
// after which all routers counted a dead one as lost.
func simulateFleet(n int, synchronised bool) (falsePositiveRate float64, worst int, detectionTime time.Duration) {
	const step = 100 * time.Millisecond
	const diesAt = 30 * time.Second
	r := rand.New(rand.NewPCG(1, uint64(n)))
	plan := dissemination.NewPlan(n - 1)
	seen := make([][]time.Duration, n) // seen[i][j]: newest heartbeat of j that i has
	next := make([]time.Duration, n)
	for i := range seen {
		seen[i] = make([]time.Duration, n)
		if !synchronised {
			next[i] = time.Duration(r.Int64N(int64(plan.IdleInterval)))
		}
	}
	type message struct {
		from, to int
		about    []int
		sentAt   []time.Duration
	}
	checks, falsePositives := 0, 0
	for now := time.Duration(0); now < time.Minute; now += step {
		var messages []message
		for i := range n {
			if now < next[i] || i == 0 && now >= diesAt {
				continue
			}
			next[i] += plan.IdleInterval
			seen[i][i] = now
			about := selectHeartbeats(seen[i], i, now, plan)
			sentAt := make([]time.Duration, len(about))
			for k, j := range about {
				sentAt[k] = seen[i][j]
			}
			for _, to := range r.Perm(n)[:min(n, plan.FanOut+1)] {
				messages = append(messages, message{i, to, about, sentAt})
			}
		}
		for _, m := range messages {
			seen[m.to][m.from] = now
			for k, j := range m.about {
				seen[m.to][j] = max(seen[m.to][j], m.sentAt[k])
			}
		}
		if now < 10*time.Second {
			continue
		}
		seenLive := 0
		for i := 1; i < n; i++ {
			missed := 0
			for j := 1; j < n; j++ {
				checks++
				if i != j && now-seen[i][j] > plan.PeerTimeout {
					missed++
				}
			}
			falsePositives += missed
			worst = max(worst, missed)
			if now-seen[i][0] <= plan.PeerTimeout {
				seenLive++
			}
		}
		if now > diesAt && seenLive == 0 && detectionTime == 0 {
			detectionTime = now - diesAt
		}
	}
	return float64(falsePositives) / float64(checks), worst, detectionTime
}

// selectHeartbeats returns the peers whose heartbeats router self relays: one selection
// for all receivers of a round, as in a datagram that is encoded once.
func selectHeartbeats(seen []time.Duration, self int, now time.Duration, plan dissemination.Plan) []int {
	var live []int
	var sentAt []time.Time
	for j, at := range seen {
		if j != self && now-at < plan.PeerTimeout {
			live, sentAt = append(live, j), append(sentAt, time.Unix(0, int64(at)))
		}
	}
	var selected []int
	for _, k := range dissemination.SelectHeartbeats(sentAt, plan.RelayedHeartbeats) {
		selected = append(selected, live[k])
	}
	return selected
}

func TestLivePeersStayKnownAndDeadOnesAreDetected(t *testing.T) {
	g := NewWithT(t)
	for _, c := range []struct {
		n                int
		maxDetectionTime time.Duration
	}{{6, 3 * time.Second}, {8, 3 * time.Second}, {30, 6 * time.Second}, {76, 6 * time.Second}, {345, 15 * time.Second}} {
		for _, synchronised := range []bool{false, true} {
			falsePositiveRate, worst, detectionTime := simulateFleet(c.n, synchronised)
			t.Logf("%d routers: %.4f of live peers counted as lost, %d by one router at once, a dead one detected after %s", c.n, falsePositiveRate, worst, detectionTime)
			g.Expect(falsePositiveRate).To(BeNumerically("<", 0.01), "%d routers", c.n)
			g.Expect(worst).To(BeNumerically("<=", c.n/10), "%d routers", c.n)
			g.Expect(detectionTime).To(And(BeNumerically(">", 0), BeNumerically("<=", c.maxDetectionTime)), "%d routers", c.n)
		}
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

func TestMostRelayedHeartbeatsAreTheNewest(t *testing.T) {
	g := NewWithT(t)
	start := time.Unix(1_000, 0)
	var sentAt []time.Time
	for i := range 60 {
		sentAt = append(sentAt, start.Add(time.Duration(i)*time.Second))
	}
	chosen := make(map[int]int)
	for range 200 {
		selected := dissemination.SelectHeartbeats(sentAt, 16)
		g.Expect(selected).To(HaveLen(16))
		for _, i := range selected {
			chosen[i]++
		}
	}
	for i := range 60 {
		if i >= 48 {
			g.Expect(chosen[i]).To(Equal(200), "heartbeat %d is among the newest", i)
		} else {
			g.Expect(chosen[i]).To(BeNumerically("~", 200*4/48.0, 26), "heartbeat %d is drawn at random", i)
		}
	}
	g.Expect(dissemination.SelectHeartbeats(sentAt[:3], 14)).To(ConsistOf(0, 1, 2))
	g.Expect(dissemination.SelectHeartbeats(nil, 14)).To(BeEmpty())
}
