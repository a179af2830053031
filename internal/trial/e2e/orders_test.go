package e2e

import (
	"os"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"wisteriafield/internal/trial/caller"
	"wisteriafield/internal/trial/fleet"
)

// deployVersion applies and promotes a configuration with another version of
// costing-llm.
func (h *harness) deployVersion(version string) {
	path, err := h.WriteDocument()
	Expect(err).NotTo(HaveOccurred())
	text, err := os.ReadFile(path)
	Expect(err).NotTo(HaveOccurred())
	changed := strings.Replace(string(text), "[Model costing-llm]\nVersion = 1", "[Model costing-llm]\nVersion = "+version+"\nSize = 1000", 1)
	Expect(os.WriteFile(path+version, []byte(changed), 0o600)).To(Succeed())
	out, err := h.command("apply", "--wait", "8s", path+version)
	Expect(err).NotTo(HaveOccurred(), out)
	out, err = h.command("promote", "--wait", "8s")
	Expect(err).NotTo(HaveOccurred(), out)
}

// versionCounts returns how many engines serve each version of costing-llm.
func (h *harness) versionCounts() map[string]int {
	counts := make(map[string]int)
	for _, e := range h.Engines {
		if state, err := h.EngineState(e); err == nil {
			counts[state.Models["costing-llm"]]++
		}
	}
	return counts
}

// readLog returns the log of a router.
func (h *harness) readLog(r *fleet.Router) string {
	text, err := os.ReadFile(r.LogPath)
	Expect(err).NotTo(HaveOccurred())
	return string(text)
}

// planLeader returns the index of the router that made the newest plan, or -1.
func (h *harness) planLeader() int {
	leader, newest := -1, int64(0)
	for i, r := range h.Routers {
		if strings.Contains(h.readLog(r), "leads the order plan") {
			if d, err := h.Dump(r); err == nil && d.Plan != nil && d.Plan.Revision >= newest {
				leader, newest = i, d.Plan.Revision
			}
		}
	}
	return leader
}

var _ = Describe("A new version of a model", func() {
	It("rolls out while drafts run and interrupts none of them", func() {
		h := startFleet(3)
		Eventually(h.planLeader, 10*time.Second).Should(BeNumerically(">=", 0))
		answers := h.streamDrafts(12, 200, func(*caller.Answer) { h.deployVersion("2") })
		for _, a := range answers {
			Expect(a.Attempts()).To(Equal(1), "no draft moved to another engine")
		}
		Eventually(h.versionCounts, 40*time.Second, 200*time.Millisecond).Should(Equal(map[string]int{"2": len(h.Engines)}))
		h.streamDrafts(4, 30, func(*caller.Answer) {})
	})

	It("rolls out although the planner pauses, loses its lease and continues", func() {
		h := startFleet(4)
		Eventually(h.planLeader, 10*time.Second).Should(BeNumerically(">=", 0))
		planner := h.Routers[h.planLeader()]
		h.deployVersion("2")
		planner.Pause()
		time.Sleep(13 * time.Second)
		planner.Continue()
		h.deployVersion("3")
		Eventually(h.versionCounts, 40*time.Second, 200*time.Millisecond).Should(Equal(map[string]int{"3": len(h.Engines)}))
		Consistently(h.versionCounts, 5*time.Second, 200*time.Millisecond).Should(Equal(map[string]int{"3": len(h.Engines)}))
	})
})
