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

// newVersion puts another version of costing-llm in force.
func (w *world) newVersion(version string) {
	path, err := w.WriteDocument()
	Expect(err).NotTo(HaveOccurred())
	text, err := os.ReadFile(path)
	Expect(err).NotTo(HaveOccurred())
	changed := strings.Replace(string(text), "[Model costing-llm]\nVersion = 1", "[Model costing-llm]\nVersion = "+version+"\nSize = 1000", 1)
	Expect(os.WriteFile(path+version, []byte(changed), 0o600)).To(Succeed())
	out, err := w.command("apply", "--wait", "8s", path+version)
	Expect(err).NotTo(HaveOccurred(), out)
	out, err = w.command("promote", "--wait", "8s")
	Expect(err).NotTo(HaveOccurred(), out)
}

// versions returns how many engines carry each version of costing-llm.
func (w *world) versions() map[string]int {
	count := make(map[string]int)
	for _, e := range w.Engines {
		if state, err := w.EngineState(e); err == nil {
			count[state.Models["costing-llm"]]++
		}
	}
	return count
}

func (w *world) logOf(r *fleet.Router) string {
	text, err := os.ReadFile(r.LogPath)
	Expect(err).NotTo(HaveOccurred())
	return string(text)
}

// leader returns the number of the router that made the newest plan.
func (w *world) leader() int {
	best, newest := -1, int64(0)
	for i, r := range w.Routers {
		if strings.Contains(w.logOf(r), "leads the order plan") {
			if d, err := w.Dump(r); err == nil && d.Plan != nil && d.Plan.Revision >= newest {
				best, newest = i, d.Plan.Revision
			}
		}
	}
	return best
}

var _ = Describe("A new version of a model", func() {
	It("rolls out while drafts run, and cuts none", func() {
		w := given(3)
		Eventually(w.leader, 10*time.Second).Should(BeNumerically(">=", 0))
		answers := w.streams(12, 200, func(*caller.Answer) { w.newVersion("2") })
		for _, a := range answers {
			Expect(a.Attempts()).To(Equal(1), "no draft was moved")
		}
		Eventually(w.versions, 40*time.Second, 200*time.Millisecond).Should(Equal(map[string]int{"2": len(w.Engines)}))
		w.streams(4, 30, func(*caller.Answer) {})
	})

	It("rolls out although its planner pauses, loses its lease and comes back", func() {
		w := given(4)
		Eventually(w.leader, 10*time.Second).Should(BeNumerically(">=", 0))
		first := w.Routers[w.leader()]
		w.newVersion("2")
		first.Pause()
		time.Sleep(13 * time.Second)
		first.Continue()
		w.newVersion("3")
		Eventually(w.versions, 40*time.Second, 200*time.Millisecond).Should(Equal(map[string]int{"3": len(w.Engines)}))
		Consistently(w.versions, 5*time.Second, 200*time.Millisecond).Should(Equal(map[string]int{"3": len(w.Engines)}))
	})
})
