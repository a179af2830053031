package relay_test

import (
	"fmt"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"wisteriafield/internal/backend/server"
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
		h.servers.Set(2, []server.Server{{ID: "i-1", Service: "engines", Address: engineAddress(1), Domain: "b", Slots: 64, Started: 7}})
		res, _ = h.serve(h.newRequest(0))
		h.Expect(res.Code).To(Equal(http.StatusOK))
	})
}
