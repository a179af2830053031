package link_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"wisteriafield/internal/decision/link"
)

// play sends events after the given gaps in milliseconds, over and over.
func play(h *link.Health, gaps ...int) time.Time {
	now := time.Unix(1_000, 0)
	s := h.ObserveStream("z")
	for range 20 {
		for _, gap := range gaps {
			now = now.Add(time.Duration(gap) * time.Millisecond)
			s.ObserveEvent(now)
		}
	}
	return now
}

func TestAnEngineThatPausesIsNotALinkThatLosesPackets(t *testing.T) {
	g := NewWithT(t)
	h := link.New()
	now := play(h, 30, 30, 400, 30, 30)
	g.Expect(h.StallRate("z", now)).To(BeZero())
	g.Expect(h.StallRate("other", now)).To(BeZero())
}

func TestEventsThatArriveTogetherAfterAPauseShowALostPacket(t *testing.T) {
	g := NewWithT(t)
	h := link.New()
	now := play(h, 30, 30, 30, 30, 220, 1, 1, 1, 20)
	g.Expect(h.StallRate("z", now)).To(BeNumerically(">", 0.02))
	g.Expect(h.StallRate("z", now.Add(time.Minute))).To(BeNumerically("<", 0.002), "it is forgiven")
}
