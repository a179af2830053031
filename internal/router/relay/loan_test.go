package relay_test

import (
	"net/http"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"wisteriafield/internal/router/relay"
)

// lendingBudget is a retry budget that is exhausted, but for what peers lend on request.
type lendingBudget struct {
	mu      sync.Mutex
	retries int
	answers time.Duration // after which a request is answered
	most    int           // that one request gets
	wanted  []int         // by request
	changed chan struct{} // of the request in progress
}

func (b *lendingBudget) Allow(string, time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.retries == 0 {
		return false
	}
	b.retries--
	return true
}

func (b *lendingBudget) NextAt(_ string, now time.Time) time.Time { return now.Add(5 * time.Second) }
func (b *lendingBudget) Return(string, time.Time, time.Time)      {}

func (b *lendingBudget) add(n int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.retries += n
}

func (b *lendingBudget) borrow(_ string, n int) <-chan struct{} {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.changed == nil {
		b.wanted, b.changed = append(b.wanted, n), make(chan struct{})
		time.AfterFunc(b.answers, func() {
			b.mu.Lock()
			defer b.mu.Unlock()
			b.retries += min(n, b.most)
			close(b.changed)
			b.changed = nil
		})
	}
	return b.changed
}

// newLendingHarness returns a harness whose callers are patient and whose first engine fails.
func newLendingHarness(t *testing.T, b *lendingBudget, f engineFaults) *harness {
	h := newHarness(t)
	h.patientCallers()
	h.setFirstEngine(f)
	h.cfg.RetryBudget, h.cfg.Borrow = b, b.borrow
	h.relay = relay.New(h.cfg)
	return h
}

// A request to the peers takes up to 80 ms.
func TestARequestThatNoEngineRanIsRefusedAtOnceAndBorrowsNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := &lendingBudget{answers: 80 * time.Millisecond, most: 1}
		h := newLendingHarness(t, b, engineFaults{refuses: true})
		start := time.Now()
		res, _ := h.serve(h.newRequest(0))
		h.Expect(res.Code).To(Equal(http.StatusServiceUnavailable))
		h.Expect(time.Since(start)).To(BeZero())
		h.Expect(b.wanted).To(BeEmpty())
	})
}

// A stream that waited for the answers of peers got a retry of its own only afterwards.
func TestAStreamTakesAnOwnRetryWhilePeersAreAsked(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := &lendingBudget{answers: time.Second}
		h := newLendingHarness(t, b, engineFaults{breakAfter: 7})
		time.AfterFunc(200*time.Millisecond, func() { b.add(1) })
		res, cut := h.serve(h.newRequest(0))
		h.Expect(cut).To(BeFalse())
		h.Expect(res.Body.String()).To(Equal(eventText(1, 20)))
		h.Expect(h.engines.sentAt()[1].Sub(h.engines.sentAt()[0])).To(BeNumerically("<=", 300*time.Millisecond))
	})
}

// Without a loan it was given up at once, since its own budget has no retry in time.
func TestAStreamThatHasNotBegunWaitsForOneAnswerOfThePeers(t *testing.T) {
	for most, code := range map[int]int{1: http.StatusOK, 0: http.StatusBadGateway} {
		synctest.Test(t, func(t *testing.T) {
			b := &lendingBudget{answers: 3 * time.Millisecond, most: most}
			h := newLendingHarness(t, b, engineFaults{losesConnection: true})
			req := h.newRequest(0)
			req.Deadline = time.Now().Add(4 * time.Second)
			start := time.Now()
			res, _ := h.serve(req)
			h.Expect(res.Code).To(Equal(code))
			if most == 0 {
				h.Expect(time.Since(start)).To(BeNumerically("<=", 200*time.Millisecond))
			}
		})
	}
}

// Each stream of a group waited 100 ms behind the one before.
func TestStreamsThatWaitBehindEachOtherGetLoansOneAfterTheOther(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := &lendingBudget{answers: 5 * time.Millisecond, most: 16}
		h := newLendingHarness(t, b, engineFaults{breakAfter: 7})
		h.engines.faults["i-1"], h.engines.faults["i-2"] = engineFaults{breakAfter: 7}, engineFaults{breakAfter: 7}
		time.AfterFunc(100*time.Millisecond, func() { h.engines.setFaults(nil) })
		var wg sync.WaitGroup
		for range 6 {
			wg.Go(func() {
				_, cut := h.serve(h.newRequest(0))
				h.Expect(cut).To(BeFalse())
			})
		}
		wg.Wait()
		sent := h.engines.sentAt()
		h.Expect(sent).To(HaveLen(12))
		h.Expect(sent[11].Sub(sent[6])).To(BeNumerically("<=", 30*time.Millisecond))
		h.Expect(len(b.wanted)).To(BeNumerically("<=", 3))
	})
}

// resumedOrder serves a stream that lost its engine before it had a backup and one, 200 ms later,
// that has a backup, of which each gets a retry, the second one 100 ms after the first. It returns
// the IDs of the requests in the order of their second attempts.
func resumedOrder(t *testing.T, firstRetry time.Duration) (ids []string) {
	synctest.Test(t, func(t *testing.T) {
		b := &lendingBudget{}
		h := newLendingHarness(t, b, engineFaults{losesConnection: true})
		h.cfg.Borrow = nil
		h.relay = relay.New(h.cfg)
		var wg sync.WaitGroup
		for id, after := range map[string]time.Duration{"without": 0, "with": 200 * time.Millisecond} {
			wg.Go(func() {
				time.Sleep(after)
				req := h.newRequest(0)
				req.ID = id
				h.serve(req)
			})
		}
		time.AfterFunc(100*time.Millisecond, func() {
			h.engines.setFaults(map[string]engineFaults{"i-0": {breakAfter: 7}, "i-1": {breakAfter: 7}, "i-2": {breakAfter: 7}})
		})
		time.AfterFunc(time.Second, func() { h.engines.setFaults(nil) })
		for i := range 2 {
			time.AfterFunc(firstRetry+time.Duration(i)*time.Second, func() { b.add(1) })
		}
		wg.Wait()
		seen := map[string]bool{}
		for _, d := range h.engines.dispatched() {
			if seen[d.Request.ID] {
				ids = append(ids, d.Request.ID)
			}
			seen[d.Request.ID] = true
		}
	})
	return ids
}

// A stream without a backup is prefilled again anyway, one with a backup only if it waits too long.
func TestAStreamWithABackupComesBeforeOneWithout(t *testing.T) {
	NewWithT(t).Expect(slices.Compact(resumedOrder(t, 2*time.Second))).To(Equal([]string{"with", "without"}))
}

// A stream whose backup had expired stayed before all others.
func TestAStreamWhoseBackupExpiredComesAfterOneThatWaitsForLonger(t *testing.T) {
	NewWithT(t).Expect(slices.Compact(resumedOrder(t, 5*time.Second))).To(Equal([]string{"without", "with"}))
}
