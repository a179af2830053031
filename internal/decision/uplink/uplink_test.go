package uplink_test

import (
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"wisteriafield/internal/decision/uplink"
)

func TestALinkIsNotPromisedFurtherAheadThanNewsMayTake(t *testing.T) {
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
	g.Expect(u.Admit(60_000, now.Add(time.Second))).To(BeTrue(), "the link is free again")
	g.Expect(uplink.New(1_250_000).Admit(5_000_000, now)).To(BeTrue(), "an idle link takes any size")
	g.Expect(uplink.New(0).Admit(5_000_000, now)).To(BeTrue(), "no bound is known")
}

// Found on grown Qalamdaan scale-1 (trial): all routers fetched a configuration from
// the two that read the store, over links of 10 Mbit/s, and it took over 4 s.
func TestNewsReachesALargeFleetInTime(t *testing.T) {
	for _, c := range []struct {
		n    int
		size int
	}{{79, 60_000}, {345, 60_000}} {
		g := NewWithT(t)
		r := rand.New(rand.NewPCG(3, 4))
		type router struct {
			link *uplink.Uplink
			has  time.Time // when it has the news
		}
		start := time.Unix(100, 0)
		all := make([]router, c.n)
		for i := range all {
			all[i].link = uplink.New(1_250_000)
		}
		all[0].has, all[1].has = start, start
		last := start
		const step = 40 * time.Millisecond // between tries
		for now := start; now.Before(start.Add(10 * time.Second)); now = now.Add(step) {
			for i := range all {
				if !all[i].has.IsZero() {
					continue
				}
				from := r.IntN(c.n)
				if has := all[from].has; has.IsZero() || has.After(now) || !all[from].link.Admit(c.size, now) {
					continue
				}
				all[i].has = now.Add(250 * time.Millisecond) // at worst
				last = all[i].has
			}
		}
		for i := range all {
			g.Expect(all[i].has.IsZero()).To(BeFalse())
		}
		t.Logf("%d routers have it after %s", c.n, last.Sub(start))
		g.Expect(last.Sub(start)).To(BeNumerically("<", 3*time.Second))
	}
}
