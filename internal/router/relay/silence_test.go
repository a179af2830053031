package relay_test

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"wisteriafield/internal/backend/server"
	"wisteriafield/internal/decision/storehistory"
)

// pausing is an engine that is sound, but silent for a second and a half after 7 events.
var pausing = engineFaults{pauseAfter: 7, pause: 1500 * time.Millisecond}

func TestASilentSoundEngineIsNotLeftWithoutAnotherAttempt(t *testing.T) {
	for name, deny := range map[string]func(h *harness){
		"retry budget exhausted": func(h *harness) { h.budget.exhaustedUntil = time.Now().Add(time.Minute) },
		"no attempts left":       func(h *harness) { h.route.MaxAttempts = 1 },
		"not resumable":          func(h *harness) { h.route.Resumable = false },
		"no other engine":        func(h *harness) { h.setServers(map[string]bool{"i-1": true, "i-2": true}) },
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				h := newHarness(t)
				h.setFirstEngine(pausing)
				deny(h)
				res, cut := h.serve(h.newRequest(0))
				h.Expect(cut).To(BeFalse())
				h.Expect(res.Body.String()).To(Equal(eventText(1, 20)))
				h.Expect(h.engines.sentTo()).To(Equal([]string{"i-0"}))
				h.Expect(h.engines.probed()).To(BeNumerically("<=", 5), "probes of a stream that is kept")
			})
		})
	}
}

// The same before the first event.
func TestASoundEngineThatIsSilentAtTheStartIsNotLeftWithoutAnotherAttempt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t)
		h.setFirstEngine(engineFaults{pause: 1500 * time.Millisecond})
		h.budget.exhaustedUntil = time.Now().Add(time.Minute)
		res, _ := h.serve(h.newRequest(0))
		h.Expect(res.Code).To(Equal(http.StatusOK))
		h.Expect(res.Body.String()).To(Equal(eventText(1, 20)))
	})
}

// An engine that stays silent from the start is not waited for until the deadline.
func TestACallerWithoutAnAnswerIsToldOfASilentEngineInTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t)
		h.setFirstEngine(engineFaults{pause: time.Minute})
		h.route.MaxAttempts = 1
		start := time.Now()
		res, _ := h.serve(h.newRequest(0))
		h.Expect(res.Code).To(Equal(http.StatusBadGateway))
		h.Expect(time.Since(start)).To(BeNumerically("<", 4*time.Second))
	})
}

func TestASilentSoundEngineIsNotLeftBeforeAnotherOneAccepts(t *testing.T) {
	for name, refuse := range map[string]func(h *harness){
		"refusing": func(h *harness) {
			h.engines.faults["i-1"], h.engines.faults["i-2"] = engineFaults{refuses: true}, engineFaults{refuses: true}
		},
		"unreachable": func(h *harness) { h.engines.unreachable = 100 },
		"other errors": func(h *harness) {
			h.engines.faults["i-1"], h.engines.faults["i-2"] = engineFaults{replaced: true}, engineFaults{replaced: true}
		},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				h := newHarness(t)
				h.setFirstEngine(pausing)
				h.budget.most = 1
				refuse(h)
				start := time.Now()
				res, cut := h.serve(h.newRequest(0))
				h.Expect(cut).To(BeFalse())
				h.Expect(res.Body.String()).To(Equal(eventText(1, 20)))
				h.Expect(time.Since(start)).To(BeNumerically("<", 2500*time.Millisecond))
			})
		})
	}
}

// The same before the first event: a caller is not refused while its request runs.
func TestARequestIsNotRefusedWhileASilentSoundEngineHasIt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t)
		h.setFirstEngine(engineFaults{pause: 1500 * time.Millisecond})
		h.engines.faults["i-1"], h.engines.faults["i-2"] = engineFaults{refuses: true}, engineFaults{refuses: true}
		res, _ := h.serve(h.newRequest(0))
		h.Expect(res.Code).To(Equal(http.StatusOK))
		h.Expect(res.Body.String()).To(Equal(eventText(1, 20)))
	})
}

func TestACallerOfASilentEngineIsAnsweredBeforeItLeaves(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t)
		h.setFirstEngine(engineFaults{pause: time.Minute})
		req := h.newRequest(0)
		req.Deadline = time.Now().Add(1500 * time.Millisecond)
		req.AnswerDeadline = req.Deadline.Add(-20 * time.Millisecond)
		h.budget.exhaustedUntil = time.Now().Add(time.Minute)
		req.PromptTokens, req.MaxOutputTokens = 10, 6
		start := time.Now()
		res, _ := h.serve(req)
		h.Expect(res.Code).To(Equal(http.StatusGatewayTimeout))
		h.Expect(time.Since(start)).To(Equal(1480 * time.Millisecond))
	})
}

func TestAStreamThatHasBegunIsNotCutBeforeItsCallersDeadline(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t)
		h.engines.eventCount = 50
		req := h.newRequest(0)
		req.Deadline = time.Now().Add(50*20*time.Millisecond + time.Millisecond)
		req.AnswerDeadline = req.Deadline.Add(-20 * time.Millisecond)
		req.PromptTokens, req.MaxOutputTokens = 10, 6
		res, cut := h.serve(req)
		h.Expect(cut).To(BeFalse())
		h.Expect(res.Body.String()).To(Equal(eventText(1, 50)))
	})
}

func TestTwoEnginesDoNotWorkOnAStreamForLong(t *testing.T) {
	for name, next := range map[string]engineFaults{"accepting": {}, "undecided": {lostAttempt: true}} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				h := newHarness(t)
				h.setFirstEngine(engineFaults{breakAfter: 7, unresponsive: true})
				h.engines.faults["i-1"], h.engines.faults["i-2"] = next, next
				h.serve(h.newRequest(0))
				sent := h.engines.dispatched()
				h.Expect(len(sent)).To(BeNumerically(">", 1))
				h.Expect(h.engines.endedAt()["i-0"]).To(BeTemporally("<=", h.engines.sentAt()[1].Add(350*time.Millisecond)))
			})
		})
	}
}

func TestAStreamOfADeadEngineGoesOnOnceTheRetryBudgetAllowsIt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t)
		h.setFirstEngine(engineFaults{breakAfter: 7, unresponsive: true})
		start := time.Now()
		h.budget.exhaustedUntil = start.Add(4 * time.Second)
		res, cut := h.serve(h.newRequest(0))
		h.Expect(cut).To(BeFalse())
		h.Expect(res.Body.String()).To(Equal(eventText(1, 20)))
		h.Expect(time.Since(start)).To(BeNumerically("<", 6*time.Second))
		h.Expect(h.engines.probed()).To(BeNumerically("<=", 4*2+6))
	})
}

// The engine's address has another incarnation: its answer will never come.
func TestAnEngineThatRestartedIsNotWaitedFor(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t)
		h.setFirstEngine(engineFaults{breakAfter: 7, unresponsive: true})
		h.route.MaxAttempts = 1
		go func() {
			time.Sleep(time.Second)
			h.servers.Set(storehistory.Position{Revision: 2}, []server.Server{{ID: "i-9", Service: "engines", Address: engineAddress(0), Domain: "a", Slots: 64}})
		}()
		start := time.Now()
		_, cut := h.serve(h.newRequest(0))
		h.Expect(cut).To(BeTrue())
		h.Expect(time.Since(start)).To(BeNumerically("<", 3*time.Second))
	})
}

func TestEnginesThatAreOnlySilentBlockNoPromptPart(t *testing.T) {
	for name, fault := range map[string]engineFaults{
		"answering probes": {hangsAfter: 2},
		"without probes":   {breakAfter: 2, unresponsive: true},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				h := newHarness(t)
				h.route.MaxAttempts = 2
				h.engines.faults = map[string]engineFaults{"i-0": fault, "i-1": fault, "i-2": fault}
				for i := range 12 {
					h.serve(h.newRequestOf(fmt.Sprintf("own-%d", i), "system", "doc"))
				}
				h.engines.setFaults(map[string]engineFaults{})
				time.Sleep(10 * time.Second) // the engines get work again
				res, _ := h.serve(h.newRequestOf("own-99", "system", "doc"))
				h.Expect(res.Code).To(Equal(http.StatusOK))
			})
		})
	}
}

func TestABrokenStreamWaitsForTheRetryBudget(t *testing.T) {
	for name, c := range map[string]struct {
		exhausted time.Duration
		cut       bool
	}{
		"for a second": {time.Second, false},
		"for good":     {time.Minute, true},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				h := newHarness(t)
				h.setFirstEngine(engineFaults{breakAfter: 7})
				start := time.Now()
				h.budget.exhaustedUntil = start.Add(c.exhausted)
				res, cut := h.serve(h.newRequest(0))
				h.Expect(cut).To(Equal(c.cut))
				h.Expect(eventText(1, 20)).To(HavePrefix(res.Body.String()))
				h.Expect(time.Since(start)).To(BeNumerically("<", 2500*time.Millisecond))
			})
		})
	}
}

func TestASilentEngineIsNotLeftAfterAnEventWithoutAnID(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t)
		for i := range 3 {
			h.engines.faults[fmt.Sprintf("i-%d", i)] = engineFaults{silentBetween: 1600 * time.Millisecond}
		}
		res, cut := h.serve(h.newRequest(0))
		h.Expect(cut).To(BeFalse())
		h.Expect(res.Body.String()).To(Equal("id: 1\ndata: event 1\n\ndata: no ID\n\nid: 2\ndata: event 2\n\n"))
		h.Expect(h.engines.sentTo()).To(HaveLen(1))
	})
}

// slowCaller takes no bytes for a while after its first event.
type slowCaller struct {
	*httptest.ResponseRecorder
	pause time.Duration
}

func (w *slowCaller) Write(p []byte) (int, error) {
	n, err := w.ResponseRecorder.Write(p)
	time.Sleep(w.pause)
	w.pause = 0
	return n, err
}

func TestASlowCallersEngineDoesNotCountAsSilent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t)
		caller := &slowCaller{httptest.NewRecorder(), 2 * time.Second}
		h.relay.Serve(caller, context.Background(), h.newRequest(0), &h.service)
		h.Expect(caller.Body.String()).To(Equal(eventText(1, 20)))
		h.Expect(h.engines.sentTo()).To(HaveLen(1))
	})
}

// It runs by the real clock, whose readings differ.
func TestARetryThatTheBudgetDeniesIsLogged(t *testing.T) {
	h := newHarness(t)
	h.setFirstEngine(engineFaults{losesConnection: true})
	h.budget.exhaustedUntil = time.Now().Add(time.Minute)
	h.serve(h.newRequest(0))
	denied := 0
	for _, entry := range h.hook.AllEntries() {
		if entry.Message == "retry budget exhausted" {
			denied++
		}
	}
	h.Expect(denied).To(Equal(1))
}

func TestASilentEngineThatAnswersProbesIsNotLeftBeforeItAcceptsTheStreamAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t)
		h.setFirstEngine(engineFaults{pauseAfter: 7, pause: 2 * time.Second, repliesInPause: true})
		h.service.Engine.SupportsBackups = false
		h.budget.most = 1
		go func() {
			time.Sleep(time.Second)
			h.engines.setFaults(map[string]engineFaults{"i-0": {refuses: true}, "i-1": {refuses: true}, "i-2": {refuses: true}})
		}()
		res, cut := h.serve(h.newRequest(0))
		h.Expect(cut).To(BeFalse())
		h.Expect(res.Body.String()).To(Equal(eventText(1, 20)))
	})
}
