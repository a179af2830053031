package relay_test

import (
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"wisteriafield/internal/router/relay"
)

// patientCallers makes callers wait for 18 s for the next event.
func (h *harness) patientCallers() { h.route.LatencyTarget = 4500 * time.Millisecond }

func TestAStreamWhoseEngineEndsIsNotCutWhileARetryComesBeforeItsCallerLeaves(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t)
		h.patientCallers()
		h.setFirstEngine(engineFaults{breakAfter: 7})
		h.budget.exhaustedUntil = time.Now().Add(6 * time.Second)
		res, cut := h.serve(h.newRequest(0))
		h.Expect(cut).To(BeFalse())
		h.Expect(res.Body.String()).To(Equal(eventText(1, 20)))
	})
}

// Neither engine breaks off: the first one is silent, the next one refuses late.
func TestAStreamThatNoEngineBrokeOffIsNotCutWhileItsEngineIsSilent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t)
		h.patientCallers()
		h.setFirstEngine(engineFaults{pauseAfter: 7, pause: 3 * time.Second})
		h.engines.faults["i-1"], h.engines.faults["i-2"] = engineFaults{refuses: true}, engineFaults{refuses: true}
		h.cfg.Client = slowRefusals{Client: h.cfg.Client, refusal: 400 * time.Millisecond}
		h.cfg.RetryBudget = pausedBudget{h.budget, time.Now().Add(600 * time.Millisecond), time.Now().Add(6 * time.Second)}
		h.relay = relay.New(h.cfg)
		time.AfterFunc(5*time.Second, func() { h.engines.setFaults(nil) })
		res, cut := h.serve(h.newRequest(0))
		h.Expect(cut).To(BeFalse())
		h.Expect(res.Body.String()).To(Equal(eventText(1, 20)))
	})
}

func TestARequestIsNotFailedWhileARetryComesBeforeItsCallerLeaves(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t)
		h.patientCallers()
		h.setFirstEngine(engineFaults{losesConnection: true})
		h.budget.exhaustedUntil = time.Now().Add(3 * time.Second)
		res, _ := h.serve(h.newRequest(0))
		h.Expect(res.Code).To(Equal(http.StatusOK))
		h.Expect(res.Body.String()).To(Equal(eventText(1, 20)))
	})
}

// Nothing is gained by waiting if no engine can get the request.
func TestARequestThatNoEngineCanGetIsFailedAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t)
		h.patientCallers()
		h.setFirstEngine(engineFaults{losesConnection: true})
		h.setServers(map[string]bool{"i-1": true, "i-2": true})
		start := time.Now()
		h.budget.exhaustedUntil = start.Add(3 * time.Second)
		res, _ := h.serve(h.newRequest(0))
		h.Expect(res.Code).To(Equal(http.StatusBadGateway))
		h.Expect(time.Since(start)).To(BeNumerically("<", 500*time.Millisecond))
	})
}

func TestEnginesThatEndedDoNotUseUpTheAttemptsOfAStream(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t)
		h.engines.eventCount = 12
		h.engines.deadlySession = "another" // engines that break off are gone
		h.setFirstEngine(engineFaults{breakAfter: 4})
		h.engines.faults["i-1"], h.engines.faults["i-2"] = engineFaults{breakAfter: 4}, engineFaults{breakAfter: 4}
		h.route.MaxAttempts = 2
		res, cut := h.serve(h.newRequest(0))
		h.Expect(cut).To(BeFalse())
		h.Expect(res.Body.String()).To(Equal(eventText(1, 12)))
	})
}
