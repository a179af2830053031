package relay_test

import (
	"context"
	"net/http/httptest"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
)

// stallingCaller reads nothing more for a while after some events.
type stallingCaller struct {
	*httptest.ResponseRecorder
	after int
	stall time.Duration
}

func (c *stallingCaller) Write(p []byte) (int, error) {
	if c.after--; c.after == 0 {
		time.Sleep(c.stall)
	}
	return c.ResponseRecorder.Write(p)
}

// serveStalling answers a request of a caller who stalls, by engines that break off an answer
// of which they can't send anything for 3 s, and reports whether the answer was cut.
func (h *harness) serveStalling(stall time.Duration) (body string, cut bool) {
	h.engines.gap, h.engines.eventCount = 5*time.Millisecond, 100
	for _, id := range []string{"i-0", "i-1", "i-2"} {
		f := h.engines.faults[id]
		f.cutsUnread = 3 * time.Second
		h.engines.faults[id] = f
	}
	caller := &stallingCaller{httptest.NewRecorder(), 5, stall}
	defer func() {
		cut = recover() != nil
		body = caller.Body.String()
	}()
	h.relay.Serve(caller, context.Background(), h.newRequest(0), &h.service)
	return "", false
}

// The engine counted as lost whose answer the caller did not read: errors, a probe of its
// failure domain, and a retry.
func TestAnAnswerThatIsCutSinceItsCallerStallsIsNoLoss(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t)
		body, cut := h.serveStalling(5 * time.Second)
		h.Expect(cut).To(BeTrue(), "the caller has not got the whole answer")
		h.Expect(eventText(1, 100)).To(HavePrefix(body))
		h.Expect(h.engines.dispatched()).To(HaveLen(1))
		h.Expect(h.budget.given).To(BeZero())
		for _, e := range h.servers.Service("engines") {
			state := e.Load.State(time.Now())
			h.Expect(state.ErrorRate).To(BeZero(), e.ID)
			h.Expect(state.Down).To(BeFalse(), e.ID)
		}
		h.Expect(h.quarantined()).To(BeFalse())
	})
}

// A caller who stalls for less time than the engine waits gets the whole answer.
func TestACallerWhoStallsBrieflyGetsItsAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t)
		body, cut := h.serveStalling(2 * time.Second)
		h.Expect(cut).To(BeFalse())
		h.Expect(body).To(Equal(eventText(1, 100)))
		h.Expect(h.engines.dispatched()).To(HaveLen(1))
	})
}

// An engine that is gone was lost, whatever its caller did.
func TestAnEngineThatCrashesBesideAStalledCallerIsLost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t)
		h.engines.gone = true
		body, cut := h.serveStalling(5 * time.Second)
		h.Expect(cut).To(BeFalse())
		h.Expect(body).To(Equal(eventText(1, 100)))
		h.Expect(h.engines.dispatched()).To(HaveLen(2))
	})
}

// Guards against an answer that is cut beside a stalled caller, though its engine is gone and another
// one has room, as something else accepts connections at the engine's address.
func TestAnEngineWhoseAddressAcceptsConnectionsIsLostBesideAStalledCaller(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t)
		h.engines.check = func(string) (bool, error) { return true, nil }
		h.engines.faults["i-0"] = engineFaults{unresponsive: true}
		body, cut := h.serveStalling(5 * time.Second)
		h.Expect(cut).To(BeFalse())
		h.Expect(body).To(Equal(eventText(1, 100)))
		h.Expect(h.engines.dispatched()).To(HaveLen(2))
	})
}

// quarantined reports whether the request would be refused.
func (h *harness) quarantined() bool {
	_, refused := h.cfg.Quarantine.Refuses(h.newRequest(0))
	return refused
}
