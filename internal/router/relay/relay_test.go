package relay_test

import (
	"fmt"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"wisteriafield/internal/backend/server"
	"wisteriafield/internal/decision/storehistory"
	"wisteriafield/internal/router/sessions"
)

// setFirstEngine makes i-0 the engine that a stream is sent to first, and gives it faults.
func (h *harness) setFirstEngine(f engineFaults) {
	for i := range 3 {
		h.servers.Get(fmt.Sprintf("i-%d", i)).Load.BeginAttempt(0, 0)
	}
	h.servers.Get("i-0").Load.RecordOutcome(false)
	for range 9 {
		h.servers.Get("i-1").Load.BeginAttempt(0, 0)
		h.servers.Get("i-2").Load.BeginAttempt(0, 0)
	}
	h.engines.faults["i-0"] = f
}

// eventText returns the text of events from..to.
func eventText(from, to int) string {
	text := ""
	for i := from; i <= to; i++ {
		text += fmt.Sprintf("id: %d\ndata: event %d\n\n", i, i)
	}
	return text
}

func TestStreamIsForwardedCompletely(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t)
		res, cut := h.serve(h.newRequest(0))
		h.Expect(cut).To(BeFalse())
		h.Expect(res.Body.String()).To(Equal(eventText(1, 20)))
	})
}

// An engine whose speed no stream taught would count as a typical one for ever.
func TestAStreamTeachesTheSpeedOfItsEngine(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t)
		h.setFirstEngine(engineFaults{})
		h.engines.eventCount = 40
		h.serve(h.newRequest(0))
		speed := h.servers.Get("i-0").Load.Speed()
		h.Expect(speed.TokenTime).To(BeNumerically("~", h.engines.gap/6, time.Microsecond))
		h.Expect(speed.PrefillTokensPerMs).To(BeNumerically("~", 5000/20.0, 1))
	})
}

func TestAfterACrashStreamResumesFromBackupWithEachEventOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t)
		h.setFirstEngine(engineFaults{breakAfter: 7})
		startedAt := time.Now()
		res, cut := h.serve(h.newRequest(0))
		h.Expect(cut).To(BeFalse())
		h.Expect(res.Body.String()).To(Equal(eventText(1, 20)))
		h.Expect(res.Header().Get("Seal")).To(Equal("i-0"), "the caller has the headers of the first engine")
		h.Expect(h.engines.dispatched()).To(HaveLen(2))
		resumed := h.engines.dispatched()[1]
		h.Expect(resumed.RestoreFrom.ID).To(Equal("r-1"))
		h.Expect(resumed.RestoreFrom.Address).To(Equal(h.engines.dispatched()[0].BackupServer.Address))
		h.Expect(resumed.LastEventID).To(Equal(7))
		h.Expect(resumed.Server.Domain).NotTo(Equal("a"))
		h.Expect(time.Since(startedAt)).To(BeNumerically("<", 600*time.Millisecond))
	})
}

func TestUnresponsiveEngineDelaysStreamByLessThanCallersTolerate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t)
		h.setFirstEngine(engineFaults{breakAfter: 7, unresponsive: true})
		startedAt := time.Now()
		res, cut := h.serve(h.newRequest(0))
		h.Expect(cut).To(BeFalse())
		h.Expect(res.Body.String()).To(Equal(eventText(1, 20)))
		h.Expect(time.Since(startedAt)).To(BeNumerically("<", 20*20*time.Millisecond+500*time.Millisecond))
		h.Expect(h.servers.Get("i-0").Load.State(time.Now()).Down).To(BeTrue())
	})
}

// After a loss, the next backup was placed in the failure domain that had just crashed
// (seen in scenario Qalamdaan quiet-1, seed 3).
func TestNextBackupAvoidsFailureDomainOfLostEngine(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t)
		h.servers.Set(storehistory.Position{Revision: 1}, []server.Server{
			{ID: "i-0", Service: "engines", Address: engineAddress(0), Domain: "a", Slots: 64},
			{ID: "i-1", Service: "engines", Address: engineAddress(1), Domain: "b", Slots: 64},
			{ID: "i-2", Service: "engines", Address: engineAddress(2), Domain: "c", Slots: 64},
			{ID: "i-3", Service: "engines", Address: engineAddress(3), Domain: "a", Slots: 64},
		})
		h.setFirstEngine(engineFaults{breakAfter: 7})
		h.servers.Get("i-3").Load.BeginAttempt(0, 0)
		h.servers.Get("i-3").Load.BeginAttempt(0, 0)
		_, cut := h.serve(h.newRequest(0))
		h.Expect(cut).To(BeFalse())
		h.Expect(h.engines.dispatched()[0].Server.ID).To(Equal("i-0"))
		h.Expect(h.engines.dispatched()[1].BackupServer.Domain).NotTo(Equal("a"))
	})
}

// A stream was resumed at a backup engine that had begun to leave after the stream began
// (seen in scenario Qalamdaan trouble-2, seed 4).
func TestBackupAtLeavingServerIsNotUsed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t)
		h.setFirstEngine(engineFaults{breakAfter: 7})
		go func() {
			time.Sleep(50 * time.Millisecond)
			h.setServers(map[string]bool{engineIDAt(h.engines.dispatched()[0].BackupServer.Address): true})
		}()
		res, cut := h.serve(h.newRequest(0))
		h.Expect(cut).To(BeFalse())
		h.Expect(res.Body.String()).To(Equal(eventText(1, 20)))
		for _, d := range h.engines.dispatched()[1:] {
			h.Expect(d.Server.Address).NotTo(Equal(h.engines.dispatched()[0].BackupServer.Address))
		}
	})
}

// Three engines in a row had restarted under other IDs, and the request ended with a 502
// (seen in scenario Qalamdaan trouble-2, seed 4).
func TestRestartedEnginesDoNotFailRequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t)
		h.engines.faults["i-0"] = engineFaults{replaced: true}
		h.engines.faults["i-1"] = engineFaults{replaced: true}
		res, cut := h.serve(h.newRequest(0))
		h.Expect(cut).To(BeFalse())
		h.Expect(res.Body.String()).To(Equal(eventText(1, 20)))
	})
}

// A stream was silent for 8 s at an engine that answered probes but no longer had the
// attempt (seen in scenario Qalamdaan trouble-2, seed 4).
func TestAttemptMissingAtItsEngineIsResumedElsewhere(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t)
		h.setFirstEngine(engineFaults{lostAttempt: true})
		startedAt := time.Now()
		res, cut := h.serve(h.newRequest(0))
		h.Expect(cut).To(BeFalse())
		h.Expect(res.Body.String()).To(Equal(eventText(1, 20)))
		h.Expect(time.Since(startedAt)).To(BeNumerically("<", 2*time.Second))
	})
}

func TestRouteLimitsAttempts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t)
		for i := range 3 {
			h.engines.faults[fmt.Sprintf("i-%d", i)] = engineFaults{losesConnection: true}
		}
		h.route.MaxAttempts = 2
		res, cut := h.serve(h.newRequest(0))
		h.Expect(cut).To(BeFalse())
		h.Expect(res.Code).To(Equal(http.StatusBadGateway))
		h.Expect(h.engines.sentTo()).To(HaveLen(2))
	})
}

func TestNonResumableStreamIsAttemptedOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t)
		h.route.Resumable = false
		h.setFirstEngine(engineFaults{breakAfter: 7})
		_, cut := h.serve(h.newRequest(0))
		h.Expect(cut).To(BeTrue(), "an incomplete answer must not look complete")
		h.Expect(h.engines.sentTo()).To(HaveLen(1))
	})
}

func TestRefusalByAllEnginesAnswers503(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t)
		for i := range 3 {
			h.engines.faults[fmt.Sprintf("i-%d", i)] = engineFaults{refuses: true}
		}
		res, cut := h.serve(h.newRequest(0))
		h.Expect(cut).To(BeFalse())
		h.Expect(res.Code).To(Equal(http.StatusServiceUnavailable))
		h.Expect(res.Header().Get("Retry-After")).NotTo(BeEmpty())
	})
}

func TestReconnectingCallerResumesFromBackup(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t)
		h.sessions.PutSession(sessions.Record{Request: h.newRequest(0).ResumeKey(), AttemptID: "r-0", Server: engineAddress(0), Backup: engineAddress(2)})
		h.engines.backups[engineAddress(2)+"/r-0"] = true
		res, cut := h.serve(h.newRequest(7))
		h.Expect(cut).To(BeFalse())
		h.Expect(res.Body.String()).To(Equal(eventText(8, 20)))
		h.Expect(h.engines.dispatched()[0].RestoreFrom.ID).To(Equal("r-0"))
		h.Expect(h.engines.sentTo()).To(Equal([]string{"i-2"}))
	})
}

// All routers that had the session record were lost (seen in scenario Qalamdaan scale-1).
func TestEngineWithCachedPromptIsFoundWithoutSessionRecord(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t)
		h.setFirstEngine(engineFaults{})
		h.engines.cachedPrompts[engineAddress(2)] = "own"
		res, cut := h.serve(h.newRequest(7))
		h.Expect(cut).To(BeFalse())
		h.Expect(res.Body.String()).To(Equal(eventText(8, 20)))
		h.Expect(h.engines.sentTo()).To(Equal([]string{"i-2"}))
	})
}

// An error answer over the bound was once cut, while its headers, the length among them,
// were passed on.
func TestATooLargeErrorAnswerIsNotPassedOnInPart(t *testing.T) {
	for _, c := range []struct {
		size int
		want int
	}{{1 << 20, http.StatusBadRequest}, {1<<20 + 1, http.StatusBadGateway}} {
		h := newHarness(t)
		for i := range 3 {
			h.engines.faults[fmt.Sprintf("i-%d", i)] = engineFaults{errorBytes: c.size}
		}
		res, _ := h.serve(h.newRequest(0))
		h.Expect(res.Code).To(Equal(c.want), "%d bytes", c.size)
		if c.want == http.StatusBadRequest {
			h.Expect(res.Body.Len()).To(Equal(c.size))
		}
	}
}

// Bytes that are no whole event are no progress: a stalled stream that drips is probed like
// a silent one, and ends with its time at the latest.
func TestAStreamThatDripsBytesEnds(t *testing.T) {
	for _, drip := range []string{"d", "\n"} {
		synctest.Test(t, func(t *testing.T) {
			h := newHarness(t)
			for i := range 3 {
				h.engines.faults[fmt.Sprintf("i-%d", i)] = engineFaults{drips: drip}
			}
			start := time.Now()
			res, _ := h.serve(h.newRequest(0))
			h.Expect(res.Code).To(BeNumerically(">=", 500))
			h.Expect(time.Since(start)).To(BeNumerically("<=", 20*time.Second+500*time.Millisecond))
			h.Expect(h.engines.probes).To(BeNumerically(">", 0))
			synctest.Wait()
		})
	}
}

// An engine that drips is left for one that answers, if it does not have the attempt.
func TestAStreamThatDripsAtOneEngineIsServedByAnother(t *testing.T) {
	for _, drip := range []string{"d", "\n"} {
		synctest.Test(t, func(t *testing.T) {
			h := newHarness(t)
			h.setFirstEngine(engineFaults{drips: drip, unresponsive: true})
			res, cut := h.serve(h.newRequest(0))
			h.Expect(cut).To(BeFalse())
			h.Expect(res.Body.String()).To(Equal(eventText(1, 20)))
		})
	}
}

func TestACallerWhoHasAllEventsGetsTheEndOfTheStream(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t)
		res, cut := h.serve(h.newRequest(20))
		h.Expect(cut).To(BeFalse())
		h.Expect(res.Code).To(Equal(http.StatusOK))
		h.Expect(res.Body.String()).To(BeEmpty())
		h.Expect(res.Header()).To(HaveKey("Seal"))
		h.Expect(h.engines.sentTo()).To(HaveLen(1))
	})
}
