package uplink_test

import (
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"wisteriafield/internal/decision/uplink"
)

func TestBacklogOfALinkIsBounded(t *testing.T) {
	g := NewWithT(t)
	u := uplink.New(1_250_000) // 10 Mbit/s
	now := time.Unix(100, 0)
	admitted := 0
	for range 20 {
		if u.Admit(60_000, now) {
			admitted++
		}
	}
	g.Expect(admitted).To(Equal(2))
	g.Expect(u.Admit(60_000, now.Add(time.Second))).To(BeTrue(), "the link is idle again")
	g.Expect(uplink.New(1_250_000).Admit(5_000_000, now)).To(BeTrue(), "an idle link admits any size")
	g.Expect(uplink.New(0).Admit(5_000_000, now)).To(BeTrue(), "an unknown rate has no bound")
}

// When all routers fetched a configuration from the two store readers, over links of
// 10 Mbit/s, it took over 4 s to reach them all.
func TestChangeReachesALargeFleetInTime(t *testing.T) {
	for _, c := range []struct {
		n    int
		size int
	}{{79, 60_000}, {345, 60_000}} {
		g := NewWithT(t)
		r := rand.New(rand.NewPCG(3, 4))
		type router struct {
			link  *uplink.Uplink
			hasAt time.Time // when it has the change
		}
		start := time.Unix(100, 0)
		all := make([]router, c.n)
		for i := range all {
			all[i].link = uplink.New(1_250_000)
		}
		all[0].hasAt, all[1].hasAt = start, start
		last := start
		const step = 40 * time.Millisecond // between retries
		for now := start; now.Before(start.Add(10 * time.Second)); now = now.Add(step) {
			for i := range all {
				if !all[i].hasAt.IsZero() {
					continue
				}
				from := r.IntN(c.n)
				if hasAt := all[from].hasAt; hasAt.IsZero() || hasAt.After(now) || !all[from].link.Admit(c.size, now) {
					continue
				}
				all[i].hasAt = now.Add(250 * time.Millisecond) // worst case
				last = all[i].hasAt
			}
		}
		for i := range all {
			g.Expect(all[i].hasAt.IsZero()).To(BeFalse())
		}
		t.Logf("%d routers have the change after %s", c.n, last.Sub(start))
		g.Expect(last.Sub(start)).To(BeNumerically("<", 3*time.Second))
	}
}
