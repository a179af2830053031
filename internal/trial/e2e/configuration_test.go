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
	configTimeout = 8 * time.Second // required of a fleet of full size
	drainTimeout  = 4 * time.Second // after it, a leaving engine gets no new attempt
	hostListLag   = time.Second     // after a host changed, until the platform lists the change
)

// writeChangedDocument writes a copy of the environment document with one more
// organisation and returns its path.
func (h *harness) writeChangedDocument(name string) string {
	path, err := h.WriteDocument()
	Expect(err).NotTo(HaveOccurred())
	text, err := os.ReadFile(path)
	Expect(err).NotTo(HaveOccurred())
	section := "\n[Organisation " + name + "]\nKeys = " + strings.Repeat("0", 63) + name[len(name)-1:] + "\n"
	changed := path + "." + name
	Expect(os.WriteFile(changed, append(text, section...), 0o600)).To(Succeed())
	return changed
}

// command runs an operator's command with the settings of the fleet.
func (h *harness) command(args ...string) (string, error) {
	args = append(args[:1:1], append([]string{"--settings", h.OperatorSettings()}, args[1:]...)...)
	return h.RunCommand(h.ctx, args...)
}

// applyAndPromote adds an organisation to the configuration of trial and production.
func (h *harness) applyAndPromote(name string) {
	_, err := h.command("apply", "--wait", "8s", h.writeChangedDocument(name))
	Expect(err).NotTo(HaveOccurred())
	_, err = h.command("promote")
	Expect(err).NotTo(HaveOccurred())
}

var _ = Describe("A configuration", func() {
	It("takes effect on every router within seconds, even on one that is cut off from the store", func() {
		h := startFleet(4)
		h.Routers[2].StoreLink.Cut()
		h.applyAndPromote("a1")
		for _, r := range h.Routers {
			Eventually(func() int64 { return h.Revision(r) }, configTimeout, 50*time.Millisecond).Should(BeEquivalentTo(2))
		}
	})

	It("reaches a router that starts during an outage of the store", func() {
		h := startFleet(3)
		h.applyAndPromote("a1")
		Eventually(func() int64 { return h.Revision(h.Routers[2]) }, configTimeout).Should(BeEquivalentTo(2))
		h.Routers[2].Kill()
		Expect(h.InjectFault(h.PlatformAddress, `{"OutageOf":"/-/kv-"}`)).To(Succeed())
		Expect(h.StartRouter(h.Routers[2])).To(Succeed())
		Eventually(func() int64 { return h.Revision(h.Routers[2]) }, configTimeout).Should(BeEquivalentTo(2))
	})

	It("has one winner when operators race, and the error of the loser names the winner", func() {
		h := startFleet(2)
		paths := []string{h.writeChangedDocument("a1"), h.writeChangedDocument("b2"), h.writeChangedDocument("c3")}
		outs, errs := make([]string, len(paths)), make([]error, len(paths))
		var wg sync.WaitGroup
		for i, path := range paths {
			wg.Add(1)
			go func() {
				defer wg.Done()
				outs[i], errs[i] = h.command("apply", "--expect", "1", path)
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
		h := startFleet(2)
		path := h.writeChangedDocument("a1")
		Expect(h.InjectFault(h.PlatformAddress, `{"LoseAnswers":2}`)).To(Succeed())
		out, err := h.command("apply", "--wait", "8s", path)
		Expect(err).NotTo(HaveOccurred(), out)
		Expect(out).To(ContainSubstring("trial: revision 2,"))
	})

	It("is promoted only if it is in effect on all trial routers", func() {
		h := startFleet(2)
		h.Trial.Kill()
		out, err := h.command("apply", h.writeChangedDocument("a1"))
		Expect(err).NotTo(HaveOccurred(), out)
		out, err = h.command("promote")
		Expect(err).To(HaveOccurred())
		Expect(out).To(ContainSubstring("not in force on all trial routers"))
	})
})

var _ = Describe("An engine that leaves", func() {
	started := func(h *harness, e fleet.Engine) int {
		state, err := h.EngineState(e)
		Expect(err).NotTo(HaveOccurred())
		return state.Stats.Started
	}
	expectNoNewWork := func(h *harness, announce func(e fleet.Engine)) {
		e := h.Engines[0]
		h.streamDrafts(6, 30, func(*caller.Answer) {})
		Expect(started(h, e)).To(BeNumerically(">", 0))
		announce(e)
		time.Sleep(hostListLag + drainTimeout)
		before := started(h, e)
		h.streamDrafts(12, 30, func(*caller.Answer) {})
		Expect(started(h, e)).To(Equal(before))
	}

	It("gets no new work once the platform lists it as leaving", func() {
		h := startFleet(3)
		expectNoNewWork(h, func(e fleet.Engine) {
			Expect(h.RegisterHost(hosts.Host{Name: e.Name, Kind: hosts.Backend, State: hosts.Leaving})).To(Succeed())
		})
	})

	It("gets no new work once it reports that it leaves", func() {
		h := startFleet(3)
		expectNoNewWork(h, func(e fleet.Engine) {
			Expect(h.InjectFault(e.Address, `{"Leaving":true}`)).To(Succeed())
		})
	})
})
