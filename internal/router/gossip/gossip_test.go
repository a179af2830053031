package gossip_test

import (
	"context"
	"fmt"
	"io"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"wisteriafield/internal/backend/registry"
	"wisteriafield/internal/backend/server"
	"wisteriafield/internal/decision/retrybudget"
	"wisteriafield/internal/decision/storereader"
	"wisteriafield/internal/router/control"
	"wisteriafield/internal/router/gossip"
	"wisteriafield/internal/router/sessions"
	"wisteriafield/platform/kv"
)

// network carries calls and datagrams between routers in memory.
type network struct {
	mu          sync.Mutex
	servers     map[string]*control.Server
	receive     map[string]func([]byte)
	unreachable map[string]bool
	slowMethod  string // takes 1.5 s
	inboxes     map[string]chan struct{}
}

func (n *network) Call(ctx context.Context, address, method string, params, result any) error {
	n.mu.Lock()
	s, unreachable, slow := n.servers[address], n.unreachable[address], n.slowMethod == method
	n.mu.Unlock()
	if slow {
		time.Sleep(1500 * time.Millisecond)
	}
	if s == nil || unreachable {
		return errors.New("unreachable")
	}
	return s.Call(ctx, method, params, result)
}

func (n *network) Send(address string, datagram []byte) error {
	n.mu.Lock()
	receive, unreachable := n.receive[address], n.unreachable[address]
	n.mu.Unlock()
	if receive != nil && !unreachable {
		go func(datagram []byte) {
			n.inbox(address) <- struct{}{}
			defer func() { <-n.inbox(address) }()
			receive(datagram)
		}(append([]byte(nil), datagram...))
	}
	return nil
}

// inbox returns a lock that delivers datagrams to an address one at a time, as a
// socket does. It is a channel, since the fake clock of synctest advances while
// goroutines block on a channel, but not while they block on a mutex.
func (n *network) inbox(address string) chan struct{} {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.inboxes == nil {
		n.inboxes = make(map[string]chan struct{})
	}
	if n.inboxes[address] == nil {
		n.inboxes[address] = make(chan struct{}, 1)
	}
	return n.inboxes[address]
}

// router is the state of one router in the test.
type router struct {
	mu           sync.Mutex
	version      int64
	revision     int64
	gossip       *gossip.Gossip
	servers      *registry.Registry
	unresponsive []string // engines that peers reported

	role            storereader.Role
	reachedAt       time.Time // last answer of the store
	failing         bool      // its last call failed
	datagrams       int
	largestDatagram int
}

// reported returns the engines that peers reported as unresponsive.
func (r *router) reported() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]string(nil), r.unresponsive...)
}

func (r *router) ConfigVersion() int64 { r.mu.Lock(); defer r.mu.Unlock(); return r.version }
func (r *router) ConfigValue() []byte  { return fmt.Append(nil, r.ConfigVersion()) }
func (r *router) SetConfig(value []byte, _ string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	var version int64
	if _, err := fmt.Sscan(string(value), &version); err == nil && version > r.version {
		r.version = version
	}
}
func (r *router) ServerList(int64) (int64, []kv.Value, bool) { return r.ServerRevision(), nil, true }
func (r *router) ServerRevision() int64                      { r.mu.Lock(); defer r.mu.Unlock(); return r.revision }
func (r *router) ApplyServerList(_, revision int64, _ []kv.Value, _ bool, _ string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.revision = max(r.revision, revision)
}
func (r *router) Stopping() bool              { return false }
func (r *router) StoreReached() time.Time     { r.mu.Lock(); defer r.mu.Unlock(); return r.reachedAt }
func (r *router) StoreRole() storereader.Role { r.mu.Lock(); defer r.mu.Unlock(); return r.role }
func (r *router) StoreFailing() bool          { r.mu.Lock(); defer r.mu.Unlock(); return r.failing }

// setStore sets the router's role in reading the store and the time of its last answer.
func (r *router) setStore(role storereader.Role, reachedAt time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.role, r.reachedAt = role, reachedAt
}

// sender counts the datagrams that a router sends.
type sender struct {
	*network
	from *router
}

func (s sender) Send(address string, datagram []byte) error {
	s.from.mu.Lock()
	s.from.datagrams++
	s.from.largestDatagram = max(s.from.largestDatagram, len(datagram))
	s.from.mu.Unlock()
	return s.network.Send(address, datagram)
}

// sent returns the number of datagrams since the last call, and the size of the largest.
func (r *router) sent() (datagrams, largest int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	datagrams, largest = r.datagrams, r.largestDatagram
	r.datagrams, r.largestDatagram = 0, 0
	return datagrams, largest
}

// runRouters starts n routers with the first one as seed, waits 5 s and runs test.
func runRouters(t *testing.T, n int, test func(g *WithT, net *network, all []*router)) {
	synctest.Test(t, func(t *testing.T) {
		net := &network{servers: map[string]*control.Server{}, receive: map[string]func([]byte){}, unreachable: map[string]bool{}}
		ctx, stop := context.WithCancel(context.Background())
		var wg sync.WaitGroup
		var all []*router
		log := logrus.New()
		log.SetOutput(io.Discard)
		for i := range n {
			r := &router{servers: registry.New(), role: storereader.Idle}
			r.servers.Set(1, []server.Server{{ID: "e", Service: "engines", Address: "10.9.0.1:1", Domain: "a"}})
			self := gossip.Host{Name: fmt.Sprintf("router-%d", i), Address: fmt.Sprintf("call-%d", i), DatagramAddress: fmt.Sprintf("notice-%d", i)}
			r.gossip = gossip.New(gossip.Config{
				Self: self, Seeds: []string{"call-0"}, Caller: net, Datagrams: sender{net, r}, State: r, Servers: r.servers, Sessions: sessions.NewTable(), RetryBudget: retrybudget.New(retrybudget.Config{Window: time.Second, Routers: func() int { return n }}, time.Now()),
				EngineUnresponsive: func(e *registry.Entry) { r.mu.Lock(); r.unresponsive = append(r.unresponsive, e.ID); r.mu.Unlock() },
				Log:                log.WithField("part", "gossip"),
			})
			s := control.NewServer()
			r.gossip.Register(s)
			net.mu.Lock()
			net.servers[self.Address], net.receive[self.DatagramAddress] = s, r.gossip.Receive
			net.mu.Unlock()
			all = append(all, r)
			wg.Go(func() { _ = r.gossip.Run(ctx) })
		}
		time.Sleep(5 * time.Second)
		test(NewWithT(t), net, all)
		stop()
		wg.Wait()
		synctest.Wait()
	})
}

func TestRoutersFindEachOtherThroughOneSeed(t *testing.T) {
	runRouters(t, 7, func(g *WithT, _ *network, all []*router) {
		for _, r := range all {
			g.Expect(r.gossip.LivePeers(time.Now())).To(HaveLen(6))
		}
	})
}

// A router that the store refuses must get the new version from its peers; it once kept
// its old one (seen in scenario scale-2).
func TestAConfigurationReachesAllRoutersWithinASecond(t *testing.T) {
	runRouters(t, 7, func(g *WithT, _ *network, all []*router) {
		all[3].SetConfig([]byte("12"), "store")
		all[3].ApplyServerList(0, 40, nil, true, "store")
		all[3].gossip.Trigger()
		time.Sleep(time.Second)
		for _, r := range all {
			g.Expect(r.ConfigVersion()).To(Equal(int64(12)))
			g.Expect(r.ServerRevision()).To(Equal(int64(40)))
		}
		all[5].SetConfig([]byte("11"), "late")
		time.Sleep(time.Second)
		g.Expect(all[5].ConfigVersion()).To(Equal(int64(12)))
	})
}

// Fetching a configuration over a slow link once delayed the handling of all messages
// that peers sent meanwhile (seen in scenario grown Qalamdaan trouble-1).
func TestASlowConfigurationFetchDoesNotDelayLoads(t *testing.T) {
	runRouters(t, 3, func(g *WithT, net *network, all []*router) {
		net.mu.Lock()
		net.slowMethod = "Gossip.Config"
		net.mu.Unlock()
		all[0].SetConfig([]byte("12"), "store")
		all[0].gossip.Trigger()
		time.Sleep(300 * time.Millisecond)
		attempt := all[1].servers.Get("e").Load.BeginAttempt(5000, 5000)
		defer attempt.End()
		time.Sleep(600 * time.Millisecond)
		g.Expect(all[2].ConfigVersion()).To(BeZero(), "the fetch is still in progress")
		g.Expect(all[2].servers.Get("e").Load.State(time.Now()).QueuedTokens).To(Equal(5000))
		time.Sleep(2 * time.Second)
		g.Expect(all[2].ConfigVersion()).To(Equal(int64(12)))
	})
}

func TestARouterReportsThatItLagsBehindItsPeers(t *testing.T) {
	runRouters(t, 3, func(g *WithT, net *network, all []*router) {
		net.mu.Lock()
		net.slowMethod = "Gossip.Servers"
		net.mu.Unlock()
		all[0].ApplyServerList(0, 40, nil, true, "store")
		all[0].gossip.Trigger()
		time.Sleep(time.Second)
		g.Expect(all[1].gossip.Lagging(time.Now())).To(BeFalse())
		time.Sleep(450 * time.Millisecond)
		g.Expect(all[1].gossip.Lagging(time.Now())).To(BeTrue())
		time.Sleep(2 * time.Second)
		g.Expect(all[1].ServerRevision()).To(Equal(int64(40)))
		g.Expect(all[1].gossip.Lagging(time.Now())).To(BeFalse())
	})
}

func TestPeersLearnOfAnUnresponsiveEngineAndOfEachOthersLoads(t *testing.T) {
	runRouters(t, 4, func(g *WithT, _ *network, all []*router) {
		attempt := all[0].servers.Get("e").Load.BeginAttempt(5000, 5000)
		time.Sleep(time.Second)
		g.Expect(all[1].servers.Get("e").Load.State(time.Now()).QueuedTokens).To(Equal(5000))
		attempt.End()
		all[0].servers.Get("e").Load.MarkDownAndShare(time.Now().Add(2 * time.Second))
		all[0].gossip.Trigger()
		time.Sleep(300 * time.Millisecond)
		g.Expect(all[2].servers.Get("e").Load.State(time.Now()).Down).To(BeTrue())
		g.Expect(all[2].reported()).To(Equal([]string{"e"}))
		time.Sleep(4 * time.Second)
		g.Expect(all[2].servers.Get("e").Load.State(time.Now()).Down).To(BeFalse())
		g.Expect(all[1].servers.Get("e").Load.State(time.Now()).QueuedTokens).To(BeZero())
	})
}

func TestASessionRecordIsFoundAfterItsRouterDied(t *testing.T) {
	runRouters(t, 5, func(g *WithT, net *network, all []*router) {
		record := sessions.Record{Session: "s", AttemptID: "r", Server: "10.9.0.1:1", Backup: "10.9.0.2:1"}
		all[2].gossip.PutSession(record)
		time.Sleep(100 * time.Millisecond)
		net.mu.Lock()
		net.unreachable["call-2"], net.unreachable["notice-2"] = true, true
		net.mu.Unlock()
		for _, i := range []int{0, 1, 3, 4} {
			found, ok := all[i].gossip.FindSession(context.Background(), "s")
			g.Expect(ok).To(BeTrue())
			g.Expect(found).To(Equal(record))
		}
		_, ok := all[0].gossip.FindSession(context.Background(), "other")
		g.Expect(ok).To(BeFalse())
	})
}

func TestInvalidDatagramsAreIgnored(t *testing.T) {
	runRouters(t, 2, func(g *WithT, net *network, all []*router) {
		for _, text := range []string{"", "{", "[1]", `{"Loads":3}`, `{"Host":{}}`} {
			all[0].gossip.Receive([]byte(text))
		}
		g.Expect(all[0].gossip.LivePeers(time.Now())).To(HaveLen(1))
	})
}

// A router that has just started knows no peers and no loads, however few there are.
func TestLoadsAreKnownInASmallFleetAfterTheFirstExchanges(t *testing.T) {
	for _, c := range []struct {
		n    int
		want bool
	}{{6, true}, {30, false}} {
		runRouters(t, c.n, func(g *WithT, _ *network, all []*router) {
			for _, r := range all {
				// runRouters runs the test five seconds after it started the routers.
				g.Expect(r.gossip.KnowsLoads(time.Now().Add(-4 * time.Second))).To(BeFalse())
				g.Expect(r.gossip.KnowsLoads(time.Now())).To(Equal(c.want), "%d routers", c.n)
			}
		})
	}
}

// In a fleet of 76 routers, a third of the live ones once counted as lost (seen in
// scenario grown Scordia).
func TestInALargeFleetLivePeersStayKnown(t *testing.T) {
	const n = 60
	runRouters(t, n, func(g *WithT, _ *network, all []*router) {
		time.Sleep(10 * time.Second)
		for range 20 {
			time.Sleep(500 * time.Millisecond)
			for _, r := range all {
				g.Expect(len(r.gossip.LivePeers(time.Now()))).To(BeNumerically(">", n*9/10))
			}
		}
	})
}

// During an outage of the store each router that tried it sent its state to all others, so
// that the datagrams grew with the square of the fleet (seen in scenario large trouble-3).
func TestOnlyARouterWithAnswersOfTheStoreSendsToAllPeers(t *testing.T) {
	const n = 30
	runRouters(t, n, func(g *WithT, _ *network, all []*router) {
		time.Sleep(3 * time.Second)
		all[1].setStore(storereader.Primary, time.Now().Add(time.Minute)) // keeps getting answers
		all[2].setStore(storereader.Primary, time.Now().Add(-3*time.Second))
		for _, r := range all {
			r.sent()
		}
		const rounds = 10
		time.Sleep(rounds * 600 * time.Millisecond)
		reader, largest := all[1].sent()
		g.Expect(reader).To(BeNumerically("~", rounds*(n-1), n-1))
		g.Expect(largest).To(BeNumerically("<", 4<<10))
		for _, r := range append(all[2:], all[0]) {
			datagrams, _ := r.sent()
			g.Expect(datagrams).To(BeNumerically("<=", (rounds+1)*4))
		}
	})
}
