package gossip_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"wisteriafield/internal/decision/storehistory"
	"wisteriafield/internal/decision/storereader"
	"wisteriafield/internal/router/discovery"
)

func TestAListOfALostHistoryDoesNotOverwriteOneOfTheNewHistory(t *testing.T) {
	runRouters(t, 7, func(g *WithT, _ *network, all []*router) {
		lost, restored := storehistory.Position{Era: 1, Revision: 40}, storehistory.Position{Era: 2, Revision: 20}
		for _, r := range all {
			r.ApplyServerList(storehistory.Position{}, discovery.ServerList{At: lost, Full: true}, "store")
		}
		all[3].ApplyServerList(storehistory.Position{}, discovery.ServerList{At: restored, Full: true}, "store")
		all[3].gossip.Trigger()
		time.Sleep(time.Second)
		for _, r := range all {
			g.Expect(r.ServerPosition()).To(Equal(restored))
			g.Expect(r.gossip.Lagging(time.Now())).To(BeFalse())
		}
	})
}

func TestARouterThatNamesNoEraCountsAsBeingInThatOfItsPeer(t *testing.T) {
	runRouters(t, 2, func(g *WithT, _ *network, all []*router) {
		time.Sleep(50 * time.Millisecond) // between two exchanges
		all[0].ApplyServerList(storehistory.Position{}, discovery.ServerList{At: storehistory.Position{Era: 3, Revision: 40}, Full: true}, "store")
		all[1].ApplyServerList(storehistory.Position{}, discovery.ServerList{At: storehistory.Position{Revision: 41}, Full: true}, "store")
		all[0].gossip.Receive([]byte(`{"Host":{"Name":"router-1","Address":"call-1","Notices":"notice-1"},"Revision":41,"AgeMs":-1}`))
		time.Sleep(time.Millisecond)
		g.Expect(all[0].ServerPosition()).To(Equal(storehistory.Position{Era: 3, Revision: 41}))
	})
}

func TestReadersHearAtOnceFromARouterThatSawTheStoresNewEra(t *testing.T) {
	for _, n := range []int{6, 76} {
		runRouters(t, n, func(g *WithT, _ *network, all []*router) {
			for i, r := range all {
				r.ApplyServerList(storehistory.Position{}, discovery.ServerList{At: storehistory.Position{Era: 1, Revision: 40}, Full: true}, "store")
				if i == 1 || i == 2 {
					r.setStore(storereader.Primary, time.Now().Add(time.Minute)) // keeps getting answers
				}
			}
			time.Sleep(5 * time.Second)
			all[n-1].seeStoreEra(2)
			all[n-1].gossip.Trigger()
			time.Sleep(100 * time.Millisecond)
			for _, reader := range all[1:3] {
				g.Expect(reader.heardStoreEra()).To(Equal(int64(2)), fmt.Sprintf("%d routers", n))
			}
		})
	}
}

// Each router once sent every datagram to all peers that read the store when last heard from.
func TestDatagramsAreBoundedWhenManyPeersReadTheStoreWhenLastHeardFrom(t *testing.T) {
	const (
		routers = 40
		rounds  = 10
		fanOut  = 4
	)
	for name, c := range map[string]struct {
		lastMessage string
		maxTargets  int
	}{
		"at their start":   {`"Revision":0`, fanOut},
		"before a restore": {`"Revision":30,"Era":1`, 2 * fanOut},
	} {
		t.Run(name, func(t *testing.T) {
			datagrams := 0
			runRouters(t, routers, func(_ *WithT, _ *network, all []*router) {
				for i := 1; i < routers; i++ {
					all[0].gossip.Receive(fmt.Appendf(nil, `{"Host":{"Name":"router-%d","Address":"call-%d","Notices":"notice-%d"},"Reads":true,"AgeMs":-1,%s}`, i, i, i, c.lastMessage))
				}
				for _, r := range all {
					r.ApplyServerList(storehistory.Position{}, discovery.ServerList{At: storehistory.Position{Era: 2, Revision: 40}, Full: true}, "store")
				}
				all[0].sent()
				for range rounds {
					all[0].gossip.Trigger()
					time.Sleep(30 * time.Millisecond)
				}
				datagrams, _ = all[0].sent()
			})
			NewWithT(t).Expect(datagrams).To(BeNumerically("<=", (rounds+1)*c.maxTargets))
		})
	}
}
