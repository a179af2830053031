package relay_test

import (
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
)

// Found on grown Scordia trouble-1: of 150 runs that were lost, 24 had lost the engine
// with their copy a few seconds before, and their prompts were read again.
func TestARunWhoseCopyWasLostIsCopiedAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t)
		w.engines.length = 60
		w.firstEngine(fate{breakAfter: 50})
		go func() {
			time.Sleep(300 * time.Millisecond)
			w.Expect(w.engines.sends).To(HaveLen(1))
			w.servers.Get(w.engines.sends[0].BackupServer.ID).Load.MarkDownAndShare(time.Now().Add(time.Minute))
		}()
		res, cut := w.serve(w.request(0))
		w.Expect(cut).To(BeFalse())
		w.Expect(res.Body.String()).To(Equal(events(1, 60)))
		w.Expect(w.engines.sends).To(HaveLen(2))
		again := w.engines.sends[1]
		w.Expect(again.RestoreFrom).NotTo(BeNil(), "no prompt is read again")
		w.Expect(again.RestoreFrom.ID).To(Equal("copy-of-r-1"))
		w.Expect(again.Server.ID).NotTo(Equal(w.engines.sends[0].Server.ID))
		w.Expect(again.Server.ID).NotTo(Equal(w.engines.sends[0].BackupServer.ID))
	})
}

func TestACopyThatIsNotNeededIsFreed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t)
		w.engines.length = 60
		go func() {
			time.Sleep(300 * time.Millisecond)
			w.servers.Get(w.engines.sends[0].BackupServer.ID).Load.MarkDownAndShare(time.Now().Add(time.Minute))
		}()
		_, cut := w.serve(w.request(0))
		w.Expect(cut).To(BeFalse())
		synctest.Wait()
		for name := range w.engines.copies {
			w.Expect(name).NotTo(ContainSubstring("copy-of-"))
		}
	})
}

// Found on the recorded day of grown Scordia: of 88 copies that were asked for before
// the first event none was there, and each question took from the budget of repeats.
func TestARunThatIsLostBeforeItsFirstEventIsSentAnewAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t)
		w.firstEngine(fate{loses: true})
		res, cut := w.serve(w.request(0))
		w.Expect(cut).To(BeFalse())
		w.Expect(res.Body.String()).To(Equal(events(1, 20)))
		w.Expect(w.engines.sends).To(HaveLen(2))
		w.Expect(w.engines.sends[1].RestoreFrom).To(BeNil())
	})
}
