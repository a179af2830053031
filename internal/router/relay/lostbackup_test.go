package relay_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"wisteriafield/internal/backend/server"
	"wisteriafield/internal/decision/storehistory"
)

// restart lists an engine as another incarnation that has just started.
func (h *harness) restart(id string) {
	var all []server.Server
	for i := range 3 {
		s := h.servers.Get(fmt.Sprintf("i-%d", i)).Server
		if s.ID == id {
			s.ID, s.Started = s.ID+"0", time.Now().UnixMilli()
		}
		all = append(all, s)
	}
	h.servers.Set(storehistory.Position{Revision: 2}, all)
	h.engines.dropBackups()
}

// expectResumeWithoutBackup expects that the stream was resumed once, by prefilling its prompt.
func (h *harness) expectResumeWithoutBackup(events int) {
	res, cut := h.serve(h.newRequest(0))
	h.Expect(cut).To(BeFalse())
	h.Expect(res.Body.String()).To(Equal(eventText(1, events)))
	h.Expect(h.engines.dispatched()).To(HaveLen(2))
	h.Expect(h.engines.dispatched()[1].RestoreFrom).To(BeNil())
}

// An engine that is silent sends no parts of the backup. In a trial of 36 routers and 224 engines, all 23 streams that
// resumed from a backup 4 s after their last event were refused, though their engines were left
// later.
func TestTheBackupOfASilentEngineExpiresByItsLastEvent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t)
		h.patientCallers()
		h.setFirstEngine(engineFaults{breakAfter: 7, unresponsive: true})
		h.budget.exhaustedUntil, h.budget.most = time.Now().Add(4300*time.Millisecond), 1
		time.AfterFunc(4200*time.Millisecond, h.engines.dropBackups)
		h.expectResumeWithoutBackup(20)
	})
}

func TestAReplacementBackupIsNotUsedOnceItsEngineHasRestarted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t)
		h.engines.eventCount = 60
		h.setFirstEngine(engineFaults{breakAfter: 40})
		h.budget.most = 1
		time.AfterFunc(300*time.Millisecond, func() {
			backup := h.engines.dispatched()[0].BackupServer.ID
			h.servers.Get(backup).Load.MarkDownAndShare(time.Now().Add(time.Minute))
		})
		time.AfterFunc(750*time.Millisecond, func() {
			for _, id := range []string{"i-1", "i-2"} {
				if id != h.engines.dispatched()[0].BackupServer.ID {
					h.restart(id)
				}
			}
			h.engines.setFaults(nil)
		})
		h.expectResumeWithoutBackup(60)
	})
}

// The first part of a backup arrives some time after the first event. In two trials of 36 routers and 224 engines, 15
// of 24 resumes after one event were refused.
func TestABackupThatMayNotHaveArrivedIsNotTriedWithTheLastRetry(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t)
		h.setFirstEngine(engineFaults{breakAfter: 1})
		h.budget.most = 1
		time.AfterFunc(10*time.Millisecond, func() {
			h.engines.dropBackups()
			h.engines.setFaults(nil)
		})
		h.expectResumeWithoutBackup(20)
	})
}

func TestABackupThatMayNotHaveArrivedIsTriedWhileThereIsAnotherRetry(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t)
		h.setFirstEngine(engineFaults{breakAfter: 1})
		_, cut := h.serve(h.newRequest(0))
		h.Expect(cut).To(BeFalse())
		h.Expect(h.engines.dispatched()).To(HaveLen(2))
		h.Expect(h.engines.dispatched()[1].RestoreFrom).NotTo(BeNil())
	})
}

// An engine that is full refuses a stream whether it has its backup or not.
func TestARetryIsNotSpentOnABackupAtAFullEngine(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t)
		h.setFirstEngine(engineFaults{breakAfter: 7})
		h.budget.most = 1
		time.AfterFunc(100*time.Millisecond, func() {
			h.servers.Get(h.engines.dispatched()[0].BackupServer.ID).Load.MarkFull(time.Now().Add(time.Minute))
			h.engines.dropBackups()
			h.engines.setFaults(nil)
		})
		h.expectResumeWithoutBackup(20)
	})
}
