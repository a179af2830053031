package relay_test

import (
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"wisteriafield/internal/backend/server"
	"wisteriafield/internal/router/relay"
)

// takenLimits has other streams take the limits of all engines but the first when this
// router wants them.
type takenLimits struct {
	relay.Limits
	lasting    time.Duration
	takenUntil time.Time
}

func (l *takenLimits) Take(s *server.Server) bool {
	if s.ID != "i-0" && l.takenUntil.IsZero() {
		l.takenUntil = time.Now().Add(l.lasting)
		return false
	}
	return l.Limits.Take(s)
}

func (l *takenLimits) Allows(s *server.Server, now time.Time) bool {
	return (s.ID == "i-0" || !now.Before(l.takenUntil)) && l.Limits.Allows(s, now)
}

// crashQuarantine refuses a request that has crashed an engine.
type crashQuarantine struct {
	relay.Quarantine
	crashed bool
}

func (q *crashQuarantine) ServerLost(*server.Request, *server.Server, int) { q.crashed = true }

func (q *crashQuarantine) Refuses(*server.Request) (time.Time, bool) {
	return time.Now().Add(time.Minute), q.crashed
}

// reserve makes the first engine silent for a while and then break off; the retry that is
// reserved in between is not sent, as the limits of the others are taken.
func reserve(h *harness, silent, taken time.Duration) {
	h.setFirstEngine(engineFaults{pauseAfter: 7, pause: silent, breakAfter: 8})
	h.cfg.Limits = &takenLimits{Limits: h.cfg.Limits, lasting: taken}
}

func TestAReservedRetryDoesNotTakeACrashingRequestToAnotherEngine(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t)
		reserve(h, 600*time.Millisecond, 400*time.Millisecond)
		h.engines.deadlySession = "another" // engines that break off are gone
		h.cfg.Quarantine = &crashQuarantine{Quarantine: h.cfg.Quarantine}
		h.relay = relay.New(h.cfg)
		h.serve(h.newRequest(0))
		h.Expect(h.budget.given).To(Equal(1), "a retry was reserved")
		h.Expect(h.engines.sentTo()).To(Equal([]string{"i-0"}))
	})
}

func TestAReservedRetryThatIsNotSentGoesBackToTheBudget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t)
		reserve(h, 1500*time.Millisecond, time.Minute)
		h.engines.faults["i-0"] = pausing
		h.relay = relay.New(h.cfg)
		res, _ := h.serve(h.newRequest(0))
		h.Expect(res.Body.String()).To(Equal(eventText(1, 20)))
		h.Expect(h.engines.sentTo()).To(Equal([]string{"i-0"}))
		h.Expect(h.budget.given).To(Equal(1))
		h.Expect(h.budget.returned).To(Equal(1))
	})
}
