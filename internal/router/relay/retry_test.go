package relay_test

import (
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
)

func TestARetryThatCouldNotBeSentIsNotTakenFromTheBudgetAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t)
		h.setFirstEngine(engineFaults{breakAfter: 7})
		h.service.Engine.SupportsBackups = false
		h.engines.unreachable = 1
		h.budget.most = 1
		res, cut := h.serve(h.newRequest(0))
		h.Expect(cut).To(BeFalse())
		h.Expect(res.Body.String()).To(Equal(eventText(1, 20)))
		h.Expect(h.engines.sentTo()).To(HaveLen(3))
	})
}

func TestASilentSoundEngineIsNotLeftForEnginesThatRefuse(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t)
		h.setFirstEngine(pausing)
		h.budget.most = 1
		for _, id := range []string{"i-1", "i-2"} {
			h.engines.faults[id] = engineFaults{refuses: true}
			h.servers.Get(id).Load.MarkFull(time.Now().Add(time.Minute))
		}
		res, cut := h.serve(h.newRequest(0))
		h.Expect(cut).To(BeFalse())
		h.Expect(res.Body.String()).To(Equal(eventText(1, 20)))
		h.Expect(h.engines.sentTo()).To(Equal([]string{"i-0"}))
	})
}
