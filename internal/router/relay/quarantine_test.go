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

// Each request with such a part was sent to one engine after the other.
func TestPromptPartThatCrashesEnginesIsNotSentToAllOfThem(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t)
		h.engines.deadlyPart = "deadly"
		for i := range 6 {
			h.serve(h.newRequestOf(fmt.Sprintf("own-%d", i), "system", "deadly"))
			time.Sleep(3 * time.Second)
			res, _ := h.serve(h.newRequestOf(fmt.Sprintf("sound-%d", i), "system"))
			h.Expect(res.Code).To(Equal(http.StatusOK), "a sound request with the same first part")
		}
		deadly := 0
		for _, d := range h.engines.dispatched() {
			if d.Request.PromptParts[1].ID == "deadly" {
				deadly++
			}
		}
		h.Expect(deadly).To(BeNumerically("<=", 5+3))
	})
}

// Only engines that had begun to answer counted as crashed.
func TestASessionThatCrashesEnginesBeforeTheirAnswersIsNotSentToAllOfThem(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t)
		h.engines.deadlySession = "deadly"
		for range 4 {
			h.serve(h.newRequestOf("deadly", "system", "doc"))
			time.Sleep(3 * time.Second)
		}
		h.Expect(h.engines.dispatched()).To(HaveLen(2), "the last of three engines is spared")
		res, _ := h.serve(h.newRequestOf("sound", "system", "doc"))
		h.Expect(res.Code).To(Equal(http.StatusOK), "its parts say nothing about others")
	})
}

// A caller that came back was looked up at its engines and sent on again.
func TestCallerThatComesBackWithABlockedPromptIsRefusedAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t)
		h.engines.deadlyPart = "deadly"
		for i := range 2 {
			h.serve(h.newRequestOf(fmt.Sprintf("own-%d", i), "system", "deadly"))
		}
		time.Sleep(time.Second) // the checks of the lost engines' failure domains end
		dispatches, probes := len(h.engines.dispatched()), h.engines.probed()
		req := h.newRequestOf("own-9", "system", "deadly")
		req.LastEventID = 3
		res, cut := h.serve(req)
		h.Expect(cut).To(BeFalse())
		h.Expect(res.Code).To(Equal(http.StatusServiceUnavailable), "it has not run")
		h.Expect(res.Header().Get("Retry-After")).To(Equal("299.0"), "when the part is tried again")
		h.Expect(h.engines.dispatched()).To(HaveLen(dispatches))
		h.Expect(h.engines.probed()).To(Equal(probes))
	})
}

// Streams lose engines for many reasons, and most of them in the middle of an answer.
func TestEnginesThatAreLostLaterInAnAnswerBlockNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t)
		for i := range 3 {
			h.engines.faults[fmt.Sprintf("i-%d", i)] = engineFaults{breakAfter: 8}
		}
		for i := range 6 {
			h.serve(h.newRequestOf(fmt.Sprintf("own-%d", i), "system", "doc"))
		}
		h.engines.setFaults(map[string]engineFaults{})
		res, _ := h.serve(h.newRequestOf("own-9", "system", "doc"))
		h.Expect(res.Code).To(Equal(http.StatusOK))
	})
}

// newRequestOf returns a request of a session with the given shared parts in its prompt.
func (h *harness) newRequestOf(session string, shared ...string) *server.Request {
	req := h.newRequest(0)
	req.ID, req.PromptParts = "r-"+session, nil
	for _, id := range append(shared, session) {
		req.PromptParts = append(req.PromptParts, server.PromptPart{ID: id, Tokens: 5000 / (len(shared) + 1)})
	}
	return req
}

// Engines that break off answers and are still there counted as crashed.
func TestAStreamIsNotKeptFromTheLastSoundEngineByBrokenAnswers(t *testing.T) {
	for i := range 12 {
		synctest.Test(t, func(t *testing.T) {
			h := newHarness(t)
			for _, id := range []string{"i-0", "i-1"} {
				h.engines.faults[id] = engineFaults{breakAfter: 1}
			}
			res, cut := h.serve(h.newRequestOf(fmt.Sprintf("own-%d", i), "system", "doc"))
			h.Expect(res.Code).To(Equal(http.StatusOK))
			h.Expect(cut).To(BeFalse(), "%d engines tried", len(h.engines.dispatched()))
		})
	}
}

func TestAStreamThatLostOneEngineGoesOnAtTheLastOneAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t)
		h.setServers(map[string]bool{"i-2": true})
		h.engines.deadlySession = "another" // engines that break off are gone
		for _, id := range []string{"i-0", "i-1"} {
			h.engines.setFaults(map[string]engineFaults{id: {breakAfter: 3}})
			startedAt := time.Now()
			res, cut := h.serve(h.newRequestOf("own-"+id, "system", "doc"))
			h.Expect(cut).To(BeFalse())
			h.Expect(res.Code).To(Equal(http.StatusOK))
			h.Expect(time.Since(startedAt)).To(BeNumerically("<", 3*time.Second))
		}
	})
}
