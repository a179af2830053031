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
)

// observeLeaving records an answer in which an engine says that it leaves.
func (h *harness) observeLeaving(id string) {
	h.limits.ObserveAnswer(&h.servers.Get(id).Server, &server.Answer{Status: http.StatusOK, Leaving: true}, time.Now())
}

// An engine that said it leaves got streams and backups for as long as the store listed it
// as ready.
func TestEngineThatSaysItLeavesGetsNoMoreStreams(t *testing.T) {
	for _, refuses := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			h := newHarness(t)
			h.engines.faults["i-0"] = engineFaults{leaving: true, refuses: refuses}
			for i := range 20 {
				h.serve(h.newRequestOf(fmt.Sprintf("own-%d", i), "system"))
				h.setServers(nil) // as the store lists them still
			}
			told := false
			for _, d := range h.engines.dispatched() {
				if told {
					h.Expect(d.Server.ID).NotTo(Equal("i-0"))
					h.Expect(d.BackupServer.ID).NotTo(Equal("i-0"))
				}
				told = told || d.Server.ID == "i-0"
			}
			h.Expect(told).To(BeTrue())
		})
	}
}

// A stream was resumed from a backup at an engine that had said it leaves.
func TestStreamIsNotResumedAtABackupEngineThatSaidItLeaves(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t)
		h.setFirstEngine(engineFaults{breakAfter: 7})
		go func() {
			time.Sleep(50 * time.Millisecond)
			h.observeLeaving(h.engines.dispatched()[0].BackupServer.ID)
		}()
		res, cut := h.serve(h.newRequest(0))
		h.Expect(cut).To(BeFalse())
		h.Expect(res.Body.String()).To(Equal(eventText(1, 20)))
		for _, d := range h.engines.dispatched()[1:] {
			h.Expect(d.Server.ID).NotTo(Equal(h.engines.dispatched()[0].BackupServer.ID))
		}
	})
}

// A caller that came back was sent to an engine that had said it leaves, for its cached prompt.
func TestCachedPromptAtAnEngineThatSaidItLeavesIsNotUsed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t)
		h.engines.cachedPrompts[engineAddress(2)] = "own"
		h.observeLeaving("i-2")
		res, cut := h.serve(h.newRequest(10))
		h.Expect(cut).To(BeFalse())
		h.Expect(res.Body.String()).To(Equal(eventText(11, 20)))
		h.Expect(h.engines.sentTo()).NotTo(ContainElement("i-2"))
	})
}

// A lost backup was replaced at an engine that had said it leaves.
func TestReplacementBackupIsNotMadeAtAnEngineThatSaidItLeaves(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t)
		h.engines.eventCount = 60
		h.setFirstEngine(engineFaults{breakAfter: 50})
		go func() {
			time.Sleep(300 * time.Millisecond)
			h.observeLeaving("i-1")
			h.observeLeaving("i-2")
			h.servers.Get(h.engines.dispatched()[0].BackupServer.ID).Load.MarkDown(time.Now().Add(time.Minute))
		}()
		h.serve(h.newRequest(0))
		h.Expect(len(h.engines.dispatched())).To(BeNumerically(">", 1))
		for _, d := range h.engines.dispatched()[1:] {
			h.Expect(d.RestoreFrom).To(BeNil())
		}
	})
}

// Another incarnation has said nothing, also under the same ID.
func TestEngineThatHasRestartedAfterItLeftGetsStreams(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t)
		for i := range 3 {
			h.observeLeaving(fmt.Sprintf("i-%d", i))
		}
		res, _ := h.serve(h.newRequest(0))
		h.Expect(res.Code).To(Equal(http.StatusServiceUnavailable))
		h.servers.Set(storehistory.Position{Revision: 2}, []server.Server{{ID: "i-1", Service: "engines", Address: engineAddress(1), Domain: "b", Slots: 64, Started: 7}})
		res, _ = h.serve(h.newRequest(0))
		h.Expect(res.Code).To(Equal(http.StatusOK))
	})
}

// An engine that had turned a stream away for a time got streams and backups as before.
func TestEngineThatWantsNothingForATimeGetsNothing(t *testing.T) {
	for _, loadsUnknown := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			h := newHarness(t)
			h.loadsUnknown = loadsUnknown
			h.engines.faults["i-0"] = engineFaults{refuses: true, retryIn: time.Minute}
			for i := range 40 {
				res, _ := h.serve(h.newRequestOf(fmt.Sprintf("own-%d", i), "system"))
				h.Expect(res.Code).To(Equal(http.StatusOK))
			}
			told := false
			for _, d := range h.engines.dispatched() {
				if told {
					h.Expect(d.Server.ID).NotTo(Equal("i-0"))
					h.Expect(d.BackupServer.ID).NotTo(Equal("i-0"))
				}
				told = told || d.Server.ID == "i-0"
			}
			h.Expect(told).To(BeTrue())
		})
	}
}

// The check of a failure domain probed an engine there that wanted nothing for a time.
func TestEngineThatWantsNothingForATimeIsNotProbedWithItsDomain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t)
		h.servers.Set(storehistory.Position{Revision: 1}, []server.Server{
			{ID: "i-0", Service: "engines", Address: engineAddress(0), Domain: "a", Slots: 64},
			{ID: "i-1", Service: "engines", Address: engineAddress(1), Domain: "a", Slots: 64},
			{ID: "i-2", Service: "engines", Address: engineAddress(2), Domain: "b", Slots: 64},
		})
		h.setFirstEngine(engineFaults{breakAfter: 7})
		h.engines.faults["i-1"] = engineFaults{unresponsive: true}
		h.limits.ObserveAnswer(&h.servers.Get("i-1").Server, &server.Answer{Status: http.StatusServiceUnavailable, RetryAt: time.Now().Add(time.Minute)}, time.Now())
		h.serve(h.newRequest(0))
		time.Sleep(time.Second)
		h.Expect(h.servers.Get("i-1").Load.State(time.Now()).Down).To(BeFalse(), "no probe has failed")
	})
}

// Streams that no engine wanted were sent all the same, and callers came back too early.
func TestStreamThatNoEngineWantsIsRefusedUntilOneDoes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t)
		for i := range 3 {
			h.engines.faults[fmt.Sprintf("i-%d", i)] = engineFaults{refuses: true, retryIn: time.Duration(7+i) * time.Second}
		}
		for range 5 {
			res, _ := h.serve(h.newRequest(0))
			h.Expect(res.Code).To(Equal(http.StatusServiceUnavailable))
			h.Expect(res.Header().Get("Retry-After")).To(Equal("7.00"))
		}
		h.Expect(h.engines.dispatched()).To(HaveLen(3))
		time.Sleep(7 * time.Second)
		h.engines.setFaults(nil)
		res, _ := h.serve(h.newRequest(0))
		h.Expect(res.Code).To(Equal(http.StatusOK))
		h.Expect(h.engines.sentTo()[3:]).To(Equal([]string{"i-0"}))
	})
}

// A stream was resumed from a backup at an engine that wanted nothing for a time.
func TestStreamIsNotResumedAtABackupEngineThatWantsNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t)
		h.setFirstEngine(engineFaults{breakAfter: 7})
		go func() {
			time.Sleep(50 * time.Millisecond)
			s := h.engines.dispatched()[0].BackupServer
			h.limits.ObserveAnswer(s, &server.Answer{Status: http.StatusServiceUnavailable, RetryAt: time.Now().Add(time.Minute)}, time.Now())
		}()
		res, cut := h.serve(h.newRequest(0))
		h.Expect(cut).To(BeFalse())
		h.Expect(res.Body.String()).To(Equal(eventText(1, 20)))
		for _, d := range h.engines.dispatched()[1:] {
			h.Expect(d.Server.ID).NotTo(Equal(h.engines.dispatched()[0].BackupServer.ID))
		}
	})
}
