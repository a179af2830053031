package freshness_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"wisteriafield/internal/decision/freshness"
)

// A router that was frozen once took the messages that had waited for it for new ones, and confirmed
// to its peers what had been changed meanwhile.
func TestMessagesThatWaitedWhileTheRouterStoodStillCountAsOld(t *testing.T) {
	const pause = 3 * time.Second
	for _, signFirst := range []bool{false, true} {
		g := NewWithT(t)
		var a freshness.Arrivals
		g.Expect(a.Earliest(now)).To(Equal(now), "nothing is known yet")
		at := now
		for range 20 {
			a.Alive(at)
			g.Expect(a.Earliest(at.Add(90 * time.Millisecond))).To(Equal(at.Add(90 * time.Millisecond)))
			at = at.Add(freshness.AliveInterval)
		}
		last := at.Add(-freshness.AliveInterval)
		resumed := last.Add(pause)
		if signFirst {
			a.Alive(resumed)
		}
		g.Expect(a.Earliest(resumed.Add(time.Millisecond))).To(Equal(last))
		a.Alive(resumed.Add(2 * time.Millisecond))
		g.Expect(a.Earliest(resumed.Add(50*time.Millisecond))).To(Equal(last), "the backlog is still being read")
		a.Alive(resumed.Add(freshness.AliveInterval))
		a.Alive(resumed.Add(2 * freshness.AliveInterval))
		later := resumed.Add(300 * time.Millisecond)
		g.Expect(a.Earliest(later)).To(Equal(later))
	}
}
