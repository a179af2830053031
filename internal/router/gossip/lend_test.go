package gossip_test

import (
	"context"
	"encoding/json"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"wisteriafield/internal/router/control"
	"wisteriafield/internal/router/gossip"
)

// lender is a peer's answer to requests for loans.
type lender struct {
	mu       sync.Mutex
	lends    int
	takes    time.Duration // to answer
	requests []lendRequest
	at       []time.Time
}

type lendRequest struct {
	Service          string
	Retries, Routers int
}

func (l *lender) handle(ctx context.Context, params json.RawMessage) (any, error) {
	req, err := control.DecodeParams[lendRequest](params)
	l.mu.Lock()
	l.requests, l.at = append(l.requests, req), append(l.at, time.Now())
	l.mu.Unlock()
	select {
	case <-time.After(l.takes):
		return map[string]any{"Retries": l.lends, "Later": "a field of a later release"}, err
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// asked returns how many requests the lender got.
func (l *lender) asked() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.requests)
}

// replaceLenders replaces what peers answer to requests for loans: those of the earlier release,
// with a nil lender, do not have the method.
func (n *network) replaceLenders(peers map[string]*lender) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for address, l := range peers {
		s := control.NewServer()
		if l != nil {
			s.Handle("Gossip.Lend", l.handle)
		}
		n.servers[address] = s
	}
}

// borrow has a router ask for retries and returns how many it got, and after which time.
func borrow(r *router, n int) (got int, after time.Duration) {
	start := time.Now()
	<-r.gossip.Borrow("engines", n)
	return spend(r), time.Since(start)
}

// spend takes the retries that a router has and returns how many there were.
func spend(r *router) (n int) {
	for r.budget.Allow("engines", time.Now()) {
		n++
	}
	return n
}

// Routers could not use what their peers had left.
func TestARouterUsesRetriesOfItsPeers(t *testing.T) {
	runRouters(t, 3, func(g *WithT, net *network, all []*router) {
		spend(all[0])
		all[1].budget.RecordFirstAttempt("engines", time.Now())
		g.Expect(borrow(all[0], 2)).To(Equal(1))
		g.Expect(all[1].budget.OwnCounts(time.Now())["engines"].Retries).To(BeEquivalentTo(1), "the lender counts it")
	})
}

func TestARouterAsksThreePeersForItsStreamsAndTellsHowManyRoutersItKnows(t *testing.T) {
	runRouters(t, 6, func(g *WithT, net *network, all []*router) {
		l := &lender{lends: 1}
		net.replaceLenders(map[string]*lender{"call-1": l, "call-2": l, "call-3": l, "call-4": l, "call-5": l})
		got, _ := borrow(all[0], 7)
		synctest.Wait()
		g.Expect(got + spend(all[0])).To(Equal(3))
		g.Expect(l.requests).To(HaveLen(3))
		g.Expect(l.requests[0]).To(Equal(lendRequest{Service: "engines", Retries: 3, Routers: 6}))
	})
}

// Peers that have no retry left were asked as often as the others.
func TestARouterAsksThePeersThatHaveTheMostRetriesLeft(t *testing.T) {
	runRouters(t, 7, func(g *WithT, net *network, all []*router) {
		for _, r := range all[4:] {
			r.budget.RecordFirstAttempt("engines", time.Now())
		}
		time.Sleep(4 * time.Second) // their reports arrive
		l := &lender{}
		net.replaceLenders(map[string]*lender{"call-4": l, "call-5": l, "call-6": l})
		borrow(all[0], 1)
		synctest.Wait()
		g.Expect(l.asked()).To(Equal(3))
	})
}

// The request waited for each peer, dead ones too.
func TestALoanIsUsableBeforeOtherPeersAnswer(t *testing.T) {
	runRouters(t, 3, func(g *WithT, net *network, all []*router) {
		net.replaceLenders(map[string]*lender{"call-1": {lends: 1}, "call-2": {lends: 1, takes: time.Minute}})
		got, after := borrow(all[0], 2)
		g.Expect(got).To(Equal(1))
		g.Expect(after).To(BeZero())
	})
}

func TestPeersThatDoNotAnswerCostTheTimeoutOnly(t *testing.T) {
	runRouters(t, 3, func(g *WithT, net *network, all []*router) {
		net.replaceLenders(map[string]*lender{"call-1": {lends: 1, takes: time.Minute}, "call-2": {lends: 1, takes: time.Minute}})
		got, after := borrow(all[0], 2)
		g.Expect(got).To(BeZero())
		g.Expect(after).To(Equal(80 * time.Millisecond))
	})
}

// The connection to a peer that answered after 80 ms was closed, with the calls that used it.
func TestALateAnswerEndsNoCallAndIsUsed(t *testing.T) {
	runRouters(t, 2, func(g *WithT, net *network, all []*router) {
		net.replaceLenders(map[string]*lender{"call-1": {lends: 1, takes: 90 * time.Millisecond}})
		got, _ := borrow(all[0], 1)
		g.Expect(got).To(BeZero())
		time.Sleep(20 * time.Millisecond)
		g.Expect(spend(all[0])).To(Equal(1))
	})
}

func TestLostAnswersOfPeersAreNoLoans(t *testing.T) {
	runRouters(t, 3, func(g *WithT, net *network, all []*router) {
		net.mu.Lock()
		net.failing = map[string]bool{"Gossip.Lend": true}
		net.mu.Unlock()
		got, after := borrow(all[0], 2)
		g.Expect(got).To(BeZero())
		g.Expect(after).To(BeZero())
	})
}

// The earlier release has no such method. It may still exchange state.
func TestPeersOfTheEarlierReleaseLendNothing(t *testing.T) {
	runRouters(t, 3, func(g *WithT, net *network, all []*router) {
		net.replaceLenders(map[string]*lender{"call-1": nil, "call-2": nil})
		got, after := borrow(all[0], 2)
		g.Expect(got).To(BeZero())
		g.Expect(after).To(BeZero())
	})
}

func TestARouterWithoutPeersGetsNothingAtOnce(t *testing.T) {
	runRouters(t, 1, func(g *WithT, net *network, all []*router) {
		got, after := borrow(all[0], 2)
		g.Expect(got).To(BeZero())
		g.Expect(after).To(BeZero())
	})
}

// Streams that lose their engines together would each ask.
func TestThereIsOneRequestAtATime(t *testing.T) {
	runRouters(t, 2, func(g *WithT, net *network, all []*router) {
		l := &lender{lends: 1, takes: 30 * time.Millisecond}
		net.replaceLenders(map[string]*lender{"call-1": l})
		for range 20 {
			all[0].gossip.Borrow("engines", 2)
			time.Sleep(time.Millisecond)
		}
		g.Expect(l.asked()).To(Equal(1))
		time.Sleep(time.Second)
		g.Expect(l.asked()).To(Equal(1))
	})
}

// Routers that have none left would flood each other.
func TestTheNextRequestFollowsAfterAWhile(t *testing.T) {
	for lends, interval := range map[int]time.Duration{1: 50 * time.Millisecond, 0: 300 * time.Millisecond} {
		runRouters(t, 2, func(g *WithT, net *network, all []*router) {
			l := &lender{lends: lends}
			net.replaceLenders(map[string]*lender{"call-1": l})
			borrow(all[0], 1)
			synctest.Wait()
			borrow(all[0], 1)
			g.Expect(l.at).To(HaveLen(2))
			g.Expect(l.at[1].Sub(l.at[0])).To(Equal(interval))
		})
	}
}

// A peer's number is believed within what was asked for.
func TestAPeerThatLendsTooManyOrLessThanNoneAddsNoMoreThanWasAskedFor(t *testing.T) {
	for lends, want := range map[int]int{1 << 40: 2, -5: 0} {
		runRouters(t, 2, func(g *WithT, net *network, all []*router) {
			net.replaceLenders(map[string]*lender{"call-1": {lends: lends}})
			before := gossip.RetriesBorrowed()
			got, _ := borrow(all[0], 2)
			g.Expect(got).To(Equal(want))
			g.Expect(gossip.RetriesBorrowed() - before).To(BeEquivalentTo(want))
		})
	}
}

// Each name that a peer sent was kept, and reported to all peers.
func TestALenderKeepsNoCountsOfUnknownServices(t *testing.T) {
	runRouters(t, 2, func(g *WithT, net *network, all []*router) {
		var reply struct{ Retries int }
		for _, n := range []int{1, -1, 1 << 40} {
			g.Expect(net.Call(context.Background(), "call-1", "Gossip.Lend", lendRequest{Service: "unknown", Retries: n}, &reply)).To(Succeed())
			g.Expect(reply.Retries).To(BeZero())
		}
		g.Expect(all[1].budget.OwnCounts(time.Now())).NotTo(HaveKey("unknown"))
	})
}

// Requests that are under way when the router stops end by their timeouts, as synctest checks.
func TestARouterThatStopsLeavesNoRequest(t *testing.T) {
	runRouters(t, 2, func(g *WithT, net *network, all []*router) {
		net.replaceLenders(map[string]*lender{"call-1": {takes: time.Minute}})
		all[0].gossip.Borrow("engines", 1)
	})
}
