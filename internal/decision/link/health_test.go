package link_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"wisteriafield/internal/decision/link"
)

// sendEvents records events with the given gaps in milliseconds, 20 times over, and
// returns the time of the last one.
func sendEvents(h *link.Health, gaps ...int) time.Time {
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

func TestPausesOfAnEngineAreNotStalls(t *testing.T) {
	g := NewWithT(t)
	h := link.New()
	now := sendEvents(h, 30, 30, 400, 30, 30)
	g.Expect(h.StallRate("z", now)).To(BeZero())
	g.Expect(h.StallRate("other", now)).To(BeZero())
}

func TestBurstAfterAPauseIsAStall(t *testing.T) {
	g := NewWithT(t)
	h := link.New()
	now := sendEvents(h, 30, 30, 30, 30, 220, 1, 1, 1, 20)
	g.Expect(h.StallRate("z", now)).To(BeNumerically(">", 0.02))
	g.Expect(h.StallRate("z", now.Add(time.Minute))).To(BeNumerically("<", 0.002), "old stalls no longer count")
}
