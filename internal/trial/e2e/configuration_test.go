package e2e

import (
	"os"
	"strings"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"wisteriafield/internal/platform/hosts"
	"wisteriafield/internal/trial/caller"
	"wisteriafield/internal/trial/fleet"
)

const (
	inForceWithin = 8 * time.Second // the brief's target at full size
	leavingWithin = 4 * time.Second
	platformLag   = time.Second
)

// change appends an organisation to the document and returns its path.
func (w *world) change(name string) string {
	path, err := w.WriteDocument()
	Expect(err).NotTo(HaveOccurred())
	text, err := os.ReadFile(path)
	Expect(err).NotTo(HaveOccurred())
	section := "\n[Organisation " + name + "]\nKeys = " + strings.Repeat("0", 63) + name[len(name)-1:] + "\n"
	changed := path + "." + name
	Expect(os.WriteFile(changed, append(text, section...), 0o600)).To(Succeed())
	return changed
}

func (w *world) command(args ...string) (string, error) {
	args = append(args[:1:1], append([]string{"--settings", w.OperatorSettings()}, args[1:]...)...)
	return w.RunCommand(w.ctx, args...)
}

func (w *world) promoted(name string) {
	_, err := w.command("apply", "--wait", "8s", w.change(name))
	Expect(err).NotTo(HaveOccurred())
	_, err = w.command("promote")
	Expect(err).NotTo(HaveOccurred())
}

var _ = Describe("A configuration", func() {
	It("is in force on every router within seconds, also on one that is cut off from the store", func() {
		w := given(4)
		w.Routers[2].StoreLink.Cut()
		w.promoted("a1")
		for _, r := range w.Routers {
			Eventually(func() int64 { return w.Revision(r) }, inForceWithin, 50*time.Millisecond).Should(BeEquivalentTo(2))
		}
	})

	It("reaches a router that starts during an outage of the store", func() {
		w := given(3)
		w.promoted("a1")
		Eventually(func() int64 { return w.Revision(w.Routers[2]) }, inForceWithin).Should(BeEquivalentTo(2))
		w.Routers[2].Kill()
		Expect(w.InjectFault(w.PlatformAddress, `{"OutageOf":"/-/kv-"}`)).To(Succeed())
		Expect(w.StartRouter(w.Routers[2])).To(Succeed())
		Eventually(func() int64 { return w.Revision(w.Routers[2]) }, inForceWithin).Should(BeEquivalentTo(2))
	})

	It("has one winner when operators race, and the loser is told who won", func() {
		w := given(2)
		paths := []string{w.change("a1"), w.change("b2"), w.change("c3")}
		outs, errs := make([]string, len(paths)), make([]error, len(paths))
		var wg sync.WaitGroup
		for i, path := range paths {
			wg.Add(1)
			go func() {
				defer wg.Done()
				outs[i], errs[i] = w.command("apply", "--expect", "1", path)
			}()
		}
		wg.Wait()
		winners := 0
		for i := range paths {
			if errs[i] == nil {
				winners++
				continue
			}
			Expect(outs[i]).To(ContainSubstring("another change came first: revision 2 by"))
		}
		Expect(winners).To(Equal(1))
	})

	It("is applied once when the store loses the answer", func() {
		w := given(2)
		path := w.change("a1")
		Expect(w.InjectFault(w.PlatformAddress, `{"LoseAnswers":2}`)).To(Succeed())
		out, err := w.command("apply", "--wait", "8s", path)
		Expect(err).NotTo(HaveOccurred(), out)
		Expect(out).To(ContainSubstring("trial: revision 2,"))
	})

	It("is promoted only as it was in force in trial", func() {
		w := given(2)
		w.Trial.Kill()
		out, err := w.command("apply", w.change("a1"))
		Expect(err).NotTo(HaveOccurred(), out)
		out, err = w.command("promote")
		Expect(err).To(HaveOccurred())
		Expect(out).To(ContainSubstring("not in force on all trial routers"))
	})
})

var _ = Describe("A leaving engine", func() {
	started := func(w *world, e fleet.Engine) int {
		state, err := w.EngineState(e)
		Expect(err).NotTo(HaveOccurred())
		return state.Stats.Started
	}
	leave := func(w *world, tell func(e fleet.Engine)) {
		e := w.Engines[0]
		w.streams(6, 30, func(*caller.Answer) {})
		Expect(started(w, e)).To(BeNumerically(">", 0))
		tell(e)
		time.Sleep(platformLag + leavingWithin)
		before := started(w, e)
		w.streams(12, 30, func(*caller.Answer) {})
		Expect(started(w, e)).To(Equal(before))
	}

	It("gets no new work once the platform's list says so", func() {
		w := given(3)
		leave(w, func(e fleet.Engine) {
			Expect(w.RegisterHost(hosts.Host{Name: e.Name, Kind: hosts.Backend, State: hosts.Leaving})).To(Succeed())
		})
	})

	It("gets no new work once it says so itself", func() {
		w := given(3)
		leave(w, func(e fleet.Engine) {
			Expect(w.InjectFault(e.Address, `{"Leaving":true}`)).To(Succeed())
		})
	})
})
