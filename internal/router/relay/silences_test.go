package relay_test

import (
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
)

func TestSilencesOfSoundEnginesDoNotUseUpTheAttemptsOfAStream(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t)
		h.engines.eventCount = 18
		h.setFirstEngine(pausing)
		for _, id := range []string{"i-1", "i-2"} {
			h.engines.faults[id] = engineFaults{pauseAfter: 3, pause: 1200 * time.Millisecond, breakAfter: 6}
		}
		res, cut := h.serve(h.newRequest(0))
		h.Expect(cut).To(BeFalse())
		h.Expect(res.Body.String()).To(Equal(eventText(1, 18)))
		h.Expect(h.engines.sentTo()).To(HaveLen(h.route.MaxAttempts))
	})
}

// An engine that stays silent is left, even with the last attempt.
func TestTheLastAttemptOfAStreamIsUsedForAnEngineThatStaysSilent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t)
		h.engines.eventCount = 13
		h.setFirstEngine(pausing)
		for _, id := range []string{"i-1", "i-2"} {
			h.engines.faults[id] = engineFaults{breakAfter: 3, unresponsive: true}
		}
		start := time.Now()
		res, cut := h.serve(h.newRequest(0))
		h.Expect(cut).To(BeFalse())
		h.Expect(res.Body.String()).To(Equal(eventText(1, 13)))
		h.Expect(time.Since(start)).To(BeNumerically("<", 4*time.Second))
	})
}

func TestTheLastAttemptIsNotDelayedIfTheEngineDoesNotHaveTheStream(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t)
		h.setFirstEngine(pausing)
		for _, id := range []string{"i-1", "i-2"} {
			h.engines.faults[id] = engineFaults{lostAttempt: true}
		}
		h.serve(h.newRequest(0))
		sentAt := h.engines.sentAt()
		h.Expect(sentAt).To(HaveLen(h.route.MaxAttempts))
		h.Expect(sentAt[2].Sub(sentAt[1])).To(BeNumerically("<", time.Second))
	})
}

// The engine answers probes while it reads the prompt, and is silent for a moment then.
func TestARequestIsNotFailedForAMomentOfSilenceInALongPrefill(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t)
		h.setFirstEngine(engineFaults{pauseAfter: 0, pause: 5 * time.Second, repliesInPause: true})
		h.route.MaxAttempts = 1
		time.AfterFunc(3*time.Second, func() { h.engines.pauseReplies("i-0", time.Second) })
		res, _ := h.serve(h.newRequest(0))
		h.Expect(res.Code).To(Equal(http.StatusOK))
		h.Expect(res.Body.String()).To(Equal(eventText(1, 20)))
	})
}

// The last attempt was kept for 8 s at an engine that says that it does not have it.
func TestACallerIsToldInTimeThatAnEngineDoesNotHaveTheLastAttempt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t)
		h.setFirstEngine(engineFaults{lostAttempt: true})
		h.route.MaxAttempts = 1
		start := time.Now()
		res, _ := h.serve(h.newRequest(0))
		h.Expect(res.Code).To(Equal(http.StatusBadGateway))
		h.Expect(time.Since(start)).To(BeNumerically("<", 4*time.Second))
	})
}

// The others were silent as well, and get no work for two seconds.
func TestACallerOfASilentEngineIsNotFailedWhileOtherEnginesGetNoWorkForAMoment(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t)
		h.setFirstEngine(engineFaults{pause: time.Minute})
		time.AfterFunc(100*time.Millisecond, func() {
			for _, id := range []string{"i-1", "i-2"} {
				h.servers.Get(id).Load.MarkDown(time.Now().Add(4 * time.Second))
			}
		})
		res, _ := h.serve(h.newRequest(0))
		h.Expect(res.Code).To(Equal(http.StatusOK))
		h.Expect(res.Body.String()).To(Equal(eventText(1, 20)))
	})
}
