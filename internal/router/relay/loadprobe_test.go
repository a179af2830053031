package relay_test

import (
	"testing"
	"testing/synctest"

	. "github.com/onsi/gomega"
)

// In a large fleet the loads of other routers arrive too late. Without load probes,
// prompts queued at some engines while others were idle (seen in scenario grown
// Scordia quiet-1).
func TestLoadsAreProbedWhenTheyAreNotKnown(t *testing.T) {
	for name, busy := range map[string]engineFaults{
		"prompts of other routers wait": {waiting: 3},
		"engines do not answer":         {unresponsive: true},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				h := newHarness(t)
				h.loadsUnknown = true
				h.engines.faults["i-0"], h.engines.faults["i-1"] = busy, busy
				res, cut := h.serve(h.newRequest(0))
				h.Expect(cut).To(BeFalse())
				h.Expect(res.Body.String()).To(Equal(eventText(1, 20)))
				h.Expect(h.engines.sentTo()).To(Equal([]string{"i-2"}))
			})
		})
	}
}

func TestNoEngineIsProbedWhenLoadsAreKnown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t)
		_, cut := h.serve(h.newRequest(0))
		h.Expect(cut).To(BeFalse())
		h.Expect(h.engines.probes).To(BeZero())
	})
}
