package relay_test

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"wisteriafield/internal/backend/server"
	"wisteriafield/internal/decision/enginespeed"
	"wisteriafield/internal/decision/enginetable"
	"wisteriafield/internal/router/relay"
)

// fakeOwners offer the same engines always and record notices.
type fakeOwners struct {
	mu     sync.Mutex
	offers []enginetable.Offer
	asked  int
	begun  []enginetable.Attempt
	by     []string // owner of each begun attempt's offer
	first  int
	losses int
	down   []string
	ended  map[uint64]bool
}

func (o *fakeOwners) Offers(context.Context, string, enginetable.Question) ([]enginetable.Offer, int) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.asked++
	return o.offers, 1
}

func (o *fakeOwners) Begin(a enginetable.Attempt, from enginetable.Offer) uint64 {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.begun, o.by = append(o.begun, a), append(o.by, from.Owner)
	return uint64(len(o.begun))
}

func (o *fakeOwners) FirstEvent(uint64) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.first++
}

func (o *fakeOwners) End(id uint64, _ enginespeed.Speed) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.ended[id] = true
}

func (o *fakeOwners) ReportLoss(*server.Server) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.losses++
	return true
}

func (o *fakeOwners) ReportDown(s *server.Server, _ time.Time) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.down = append(o.down, s.ID)
}

func (h *harness) ownersOffer(ids ...string) *fakeOwners {
	o := &fakeOwners{ended: map[uint64]bool{}}
	for i, id := range ids {
		o.offers = append(o.offers, enginetable.Offer{Engine: enginetable.Key{ID: id}, Owner: "owner", Cost: float64(1000 * i)})
	}
	h.loadsUnknown, h.cfg.Placement = true, o
	h.relay = relay.New(h.cfg)
	return o
}

// The engine and the backup's engine come from one question and cost no probe, and an owner that
// is not told of an end counts the attempt for seconds.
func TestOwnersPlaceTheAttemptAndItsBackup(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t)
		o := h.ownersOffer("i-1", "i-2")
		res, _ := h.serve(h.newRequest(0))
		synctest.Wait()
		h.Expect(res.Body.String()).To(Equal(eventText(1, 20)))
		h.Expect(h.engines.sentTo()).To(Equal([]string{"i-1"}))
		h.Expect(h.engines.probes).To(BeZero())
		h.Expect(o.asked).To(Equal(1))
		h.Expect(o.begun).To(Equal([]enginetable.Attempt{
			{Engine: enginetable.Key{ID: "i-2"}, UsedTokens: 5000, Backup: true},
			{Engine: enginetable.Key{ID: "i-1"}, PrefillTokens: 5000, UsedTokens: 5120},
		}))
		h.Expect(o.by).To(Equal([]string{"owner", "owner"}))
		h.Expect(o.first).To(Equal(1))
		h.Expect(o.ended).To(HaveLen(2))
	})
}

// What an owner does not know of an engine must not be overridden by its offer.
func TestUnusableOffersAreProbedInstead(t *testing.T) {
	for name, spoil := range map[string]func(h *harness){
		"leaving":      func(h *harness) { h.setServers(map[string]bool{"i-1": true}) },
		"down":         func(h *harness) { h.servers.Get("i-1").Load.MarkDown(time.Now().Add(time.Hour)) },
		"full":         func(h *harness) { h.servers.Get("i-1").Load.MarkFull(time.Now().Add(time.Hour)) },
		"without room": func(h *harness) { h.servers.Get("i-1").Load.ReserveBackup(50000) },
		"unknown":      func(h *harness) { h.cfg.Placement.(*fakeOwners).offers[0].Engine.Started = 7 },
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				h := newHarness(t)
				h.ownersOffer("i-1")
				spoil(h)
				res, _ := h.serve(h.newRequest(0))
				h.Expect(res.Body.String()).To(Equal(eventText(1, 20)))
				h.Expect(h.engines.sentTo()).NotTo(ContainElement("i-1"))
				h.Expect(h.engines.probes).NotTo(BeZero())
			})
		})
	}
}

// A caller who states a huge maximum of output must not keep other requests from its engine.
func TestStatedOutputDoesNotFillAnEngine(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t)
		o := h.ownersOffer()
		req := h.newRequest(0)
		req.MaxOutputTokens, req.Deadline = 40_000, time.Now().Add(time.Hour)
		h.serve(req)
		h.Expect(o.begun[len(o.begun)-1].UsedTokens).To(Equal(5000 + 5500))
	})
}

// An attempt that resumes from a backup has no offer; its owner hears of it all the same, without
// a prompt to prefill.
func TestResumedAttemptIsNotifiedWithoutAnOffer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t)
		o := h.ownersOffer("i-1", "i-2", "i-0")
		h.engines.faults["i-1"] = engineFaults{breakAfter: 5}
		res, _ := h.serve(h.newRequest(0))
		synctest.Wait()
		h.Expect(res.Body.String()).To(Equal(eventText(1, 20)))
		h.Expect(h.engines.sentTo()).To(Equal([]string{"i-1", "i-2"}))
		last := o.begun[len(o.begun)-1]
		h.Expect(last).To(Equal(enginetable.Attempt{Engine: enginetable.Key{ID: "i-2"}, UsedTokens: 5120}))
		h.Expect(o.by[len(o.by)-1]).To(BeEmpty())
		h.Expect(o.ended).To(HaveLen(len(o.begun)))
		h.Expect(o.losses).To(Equal(1))
		h.Expect(h.engines.probes).To(BeZero(), "owners check the domain")
	})
}
