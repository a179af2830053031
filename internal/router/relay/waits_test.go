package relay_test

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"wisteriafield/internal/backend/server"
	"wisteriafield/internal/decision/storehistory"
	"wisteriafield/internal/router/relay"
)

// dropBackups makes the engines forget the backups that they keep.
func (e *fakeEngines) dropBackups() {
	e.mu.Lock()
	defer e.mu.Unlock()
	clear(e.backups)
}

// An engine with the backup of a stream keeps it for 4 s. The one retry was spent on it later.
func TestAStreamThatWaitsLongerThanItsBackupIsKeptDoesNotSpendTheRetryOnIt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t)
		h.patientCallers()
		h.setFirstEngine(engineFaults{breakAfter: 7})
		h.budget.exhaustedUntil, h.budget.most = time.Now().Add(6*time.Second), 1
		time.AfterFunc(5*time.Second, func() {
			h.engines.dropBackups()
			h.engines.setFaults(nil)
		})
		res, cut := h.serve(h.newRequest(0))
		h.Expect(cut).To(BeFalse())
		h.Expect(res.Body.String()).To(Equal(eventText(1, 20)))
		h.Expect(h.engines.sentTo()).To(HaveLen(2))
	})
}

// lateQuarantine refuses all requests from a time on.
type lateQuarantine struct {
	relay.Quarantine
	from time.Time
}

func (q lateQuarantine) Refuses(*server.Request) (time.Time, bool) {
	return q.from.Add(time.Minute), !time.Now().Before(q.from)
}

func TestARequestThatIsBlockedWhileItWaitsForARetryIsNotSent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t)
		h.patientCallers()
		h.setFirstEngine(engineFaults{losesConnection: true})
		h.budget.exhaustedUntil = time.Now().Add(6 * time.Second)
		h.cfg.Quarantine = lateQuarantine{h.cfg.Quarantine, time.Now().Add(time.Second)}
		h.relay = relay.New(h.cfg)
		res, _ := h.serve(h.newRequest(0))
		h.Expect(res.Code).To(Equal(http.StatusBadGateway))
		h.Expect(h.engines.sentTo()).To(HaveLen(1))
	})
}

// contestedBudget is a retry budget whose next retries other streams take.
type contestedBudget struct {
	*fakeBudget
	taken int
}

func (b *contestedBudget) Allow(service string, now time.Time) bool {
	if b.taken > 0 {
		b.taken--
		return false
	}
	return b.fakeBudget.Allow(service, now)
}

// countedLimits counts the requests that are taken from the limits of engines.
type countedLimits struct {
	relay.Limits
	taken int
}

func (l *countedLimits) Take(s *server.Server) bool {
	l.taken++
	return l.Limits.Take(s)
}

func TestAStreamWhoseRetryAnotherOneTookReturnsToItsPromptAndTakesOneRequestFromTheLimits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t)
		h.patientCallers()
		h.service.Engine.SupportsBackups = false
		h.setFirstEngine(engineFaults{breakAfter: 7})
		limits := &countedLimits{Limits: h.cfg.Limits}
		h.cfg.Limits, h.cfg.RetryBudget = limits, &contestedBudget{h.budget, 3}
		h.relay = relay.New(h.cfg)
		time.AfterFunc(100*time.Millisecond, func() { h.engines.setFaults(nil) })
		res, cut := h.serve(h.newRequest(0))
		h.Expect(cut).To(BeFalse())
		h.Expect(res.Body.String()).To(Equal(eventText(1, 20)))
		h.Expect(h.engines.sentTo()).To(Equal([]string{"i-0", "i-0"}))
		h.Expect(limits.taken).To(Equal(2))
	})
}

func TestAStreamThatLeavesASilentEngineDoesNotTakeTheRetryOfOneThatWaits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t)
		h.patientCallers()
		h.setFirstEngine(engineFaults{breakAfter: 7})
		h.budget.exhaustedUntil, h.budget.most = time.Now().Add(3*time.Second), 1
		time.AfterFunc(time.Second, func() {
			h.engines.setFaults(map[string]engineFaults{"i-0": pausing, "i-1": pausing, "i-2": pausing})
		})
		cuts := make(chan bool)
		for _, startAt := range []time.Duration{0, 2560 * time.Millisecond} { // the second one is silent 40 ms before the first one asks
			go func() {
				time.Sleep(startAt)
				_, cut := h.serve(h.newRequest(0))
				cuts <- cut
			}()
		}
		h.Expect(<-cuts).To(BeFalse())
		h.Expect(<-cuts).To(BeFalse())
	})
}

// Engines that are full for a moment are full only for that moment.
func TestARequestWhoseEngineEndedIsNotFailedWhileOthersAreFullForAMoment(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t)
		h.patientCallers()
		h.setFirstEngine(engineFaults{losesConnection: true})
		h.engines.faults["i-1"], h.engines.faults["i-2"] = engineFaults{refuses: true}, engineFaults{refuses: true}
		time.AfterFunc(250*time.Millisecond, func() { h.engines.setFaults(nil) })
		res, _ := h.serve(h.newRequest(0))
		h.Expect(res.Code).To(Equal(http.StatusOK))
		h.Expect(strings.Count(res.Body.String(), "id: ")).To(Equal(20))
	})
}

// Engines that were silent get no work for 2 s.
func TestARequestWhoseEngineEndedIsNotFailedWhileOthersAreDownForAMoment(t *testing.T) {
	for down, code := range map[time.Duration]int{2 * time.Second: http.StatusOK, time.Hour: http.StatusBadGateway} {
		synctest.Test(t, func(t *testing.T) {
			h := newHarness(t)
			h.patientCallers()
			h.setFirstEngine(engineFaults{losesConnection: true})
			start := time.Now()
			for _, id := range []string{"i-1", "i-2"} {
				h.servers.Get(id).Load.MarkDown(start.Add(down))
			}
			res, _ := h.serve(h.newRequest(0))
			h.Expect(res.Code).To(Equal(code))
			h.Expect(time.Since(start)).To(BeNumerically("<", 3*time.Second))
		})
	}
}

// Each of the engines was asked again every 50 ms, each time for a retry.
func TestAStreamDoesNotSpendItsRetriesOnEnginesThatHaveJustRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t)
		h.setFirstEngine(engineFaults{breakAfter: 7})
		refuse := map[string]engineFaults{"i-0": {refuses: true}, "i-1": {refuses: true}, "i-2": {refuses: true}}
		time.AfterFunc(100*time.Millisecond, func() { h.engines.setFaults(refuse) })
		time.AfterFunc(1100*time.Millisecond, func() { h.engines.setFaults(nil) })
		res, cut := h.serve(h.newRequest(0))
		h.Expect(cut).To(BeFalse())
		h.Expect(res.Body.String()).To(Equal(eventText(1, 20)))
		h.Expect(len(h.engines.sentTo())).To(BeNumerically("<=", 1+3*5))
	})
}

// The engine at the address of the backup has restarted since, and has it no more.
func TestAStreamDoesNotSpendARetryOnABackupThatWasLostInARestart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t)
		h.patientCallers()
		h.setFirstEngine(engineFaults{breakAfter: 7})
		h.budget.exhaustedUntil, h.budget.most = time.Now().Add(2*time.Second), 1
		time.AfterFunc(time.Second, func() {
			backup := h.engines.dispatched()[0].BackupServer
			var all []server.Server
			for i := range 3 {
				s := h.servers.Get(fmt.Sprintf("i-%d", i)).Server
				if s.ID == backup.ID {
					s.ID, s.Started = s.ID+"0", time.Now().UnixMilli()
				}
				all = append(all, s)
			}
			h.servers.Set(storehistory.Position{Revision: 2}, all)
			h.engines.dropBackups()
			h.engines.setFaults(nil)
		})
		res, cut := h.serve(h.newRequest(0))
		h.Expect(cut).To(BeFalse())
		h.Expect(res.Body.String()).To(Equal(eventText(1, 20)))
		h.Expect(h.engines.sentTo()).To(HaveLen(2))
	})
}

// Its caller is told that nothing ran, and may go to another router at once.
func TestARequestThatNoEngineRanIsRefusedAtOnceWithoutARetry(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t)
		h.patientCallers()
		h.setFirstEngine(engineFaults{refuses: true})
		start := time.Now()
		h.budget.exhaustedUntil = start.Add(3 * time.Second)
		res, _ := h.serve(h.newRequest(0))
		h.Expect(res.Code).To(Equal(http.StatusServiceUnavailable))
		h.Expect(time.Since(start)).To(BeNumerically("<", 500*time.Millisecond))
	})
}

// The budget has a retry each time that the other stream has just taken it.
func TestAStreamThatWaitsForARetryIsLoggedOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t)
		h.patientCallers()
		h.setFirstEngine(engineFaults{breakAfter: 7})
		h.cfg.RetryBudget = &pulsedBudget{fakeBudget: h.budget}
		h.relay = relay.New(h.cfg)
		time.AfterFunc(100*time.Millisecond, func() { h.setServers(map[string]bool{"i-0": true, "i-1": true, "i-2": true}) })
		time.AfterFunc(2*time.Second, func() { h.setServers(nil) })
		res, cut := h.serve(h.newRequest(0))
		h.Expect(cut).To(BeFalse())
		h.Expect(res.Body.String()).To(Equal(eventText(1, 20)))
		denied := 0
		for _, entry := range h.hook.AllEntries() {
			if entry.Message == "retry budget exhausted" {
				denied++
			}
		}
		h.Expect(denied).To(Equal(1))
	})
}

// pulsedBudget is a retry budget that denies every other request.
type pulsedBudget struct {
	*fakeBudget
	asked int
}

func (b *pulsedBudget) Allow(service string, now time.Time) bool {
	b.asked++
	return b.asked%2 == 0 && b.fakeBudget.Allow(service, now)
}
