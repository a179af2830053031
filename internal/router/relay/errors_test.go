package relay_test

import (
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
)

func TestAnErrorOfTheNextEngineDoesNotEndAStreamThatHasBegun(t *testing.T) {
	for name, second := range map[string]engineFaults{
		"error":                   {errorBytes: 100},
		"larger than is buffered": {errorBytes: 2 << 20},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				h := newHarness(t)
				h.route.MaxAttempts = 5
				h.setFirstEngine(engineFaults{breakAfter: 7})
				h.engines.faults["i-1"] = second
				h.engines.faults["i-2"] = second
				const bothAnswered = 170 * time.Millisecond
				defer time.Sleep(bothAnswered)
				go func() {
					time.Sleep(bothAnswered)
					h.engines.setFaults(nil)
				}()
				res, cut := h.serve(h.newRequest(0))
				h.Expect(cut).To(BeFalse())
				h.Expect(res.Code).To(Equal(http.StatusOK))
				h.Expect(res.Body.String()).To(Equal(eventText(1, 20)))
				h.Expect(h.engines.sentTo()).To(ContainElements("i-1", "i-2"))
			})
		})
	}
}

// An error answer is not sent into the stream, and the incomplete stream does not look complete.
func TestAStreamThatOnlyErrorsFollowIsCut(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t)
		h.setFirstEngine(engineFaults{breakAfter: 7})
		h.engines.faults["i-1"] = engineFaults{errorBytes: 100}
		h.engines.faults["i-2"] = engineFaults{errorBytes: 100}
		res, cut := h.serve(h.newRequest(0))
		h.Expect(cut).To(BeTrue())
		h.Expect(eventText(1, 20)).To(HavePrefix(res.Body.String()))
	})
}

func TestAStreamDoesNotReturnToTheEngineThatAnsweredWithAnError(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t)
		h.setFirstEngine(engineFaults{breakAfter: 7})
		h.service.Engine.SupportsBackups = false
		for range 9 {
			h.servers.Get("i-2").Load.BeginAttempt(0, 0)
		}
		h.route.MaxAttempts = 3
		h.engines.faults["i-1"] = engineFaults{errorBytes: 100}
		h.engines.faults["i-0"] = engineFaults{breakAfter: 7, unresponsive: true}
		res, cut := h.serve(h.newRequest(0))
		h.Expect(cut).To(BeFalse())
		h.Expect(res.Body.String()).To(Equal(eventText(1, 20)))
		h.Expect(h.engines.sentTo()).To(Equal([]string{"i-0", "i-1", "i-2"}))
	})
}
