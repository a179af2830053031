package gossip_test

import (
	"context"
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"wisteriafield/internal/backend/registry"
	"wisteriafield/internal/backend/server"
	"wisteriafield/internal/decision/freshness"
	decision "wisteriafield/internal/decision/ratelimit"
	"wisteriafield/internal/decision/retrybudget"
	"wisteriafield/internal/decision/storehistory"
	"wisteriafield/internal/decision/storereader"
	"wisteriafield/internal/router/control"
	"wisteriafield/internal/router/discovery"
	"wisteriafield/internal/router/gossip"
	"wisteriafield/internal/router/quarantine"
	"wisteriafield/internal/router/ratelimit"
	"wisteriafield/internal/router/sessions"
)

// network carries calls and datagrams between routers in memory.
type network struct {
	mu          sync.Mutex
	servers     map[string]*control.Server
	receive     map[string]func([]byte)
	unreachable map[string]bool
	slowMethod  string          // takes 1.5 s
	failing     map[string]bool // methods
	contactTime time.Duration
	seeds       []string // call-0 if empty
	inboxes     map[string]chan struct{}
}

func (n *network) Call(ctx context.Context, address, method string, params, result any) error {
	n.mu.Lock()
	s, unreachable, slow := n.servers[address], n.unreachable[address] || n.failing[method], n.slowMethod == method
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
	position     storehistory.Position
	fresh        freshness.Tracker
	storeEra     int64 // newest that the store named
	observedEra  int64 // newest that a peer named
	gossip       *gossip.Gossip
	servers      *registry.Registry
	quarantine   *quarantine.Guard
	serversEnded atomic.Bool // the servers that this router checks are gone
	limits       *ratelimit.Limiter
	budget       *retrybudget.Budget
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

// peerNames returns the names of the live peers.
func (r *router) peerNames(now time.Time) []string {
	var names []string
	for _, h := range r.gossip.LivePeers(now) {
		names = append(names, h.Name)
	}
	return names
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
func (r *router) ServerList(storehistory.Position) discovery.ServerList {
	return discovery.ServerList{At: r.ServerPosition(), Full: true}
}
func (r *router) ServerPosition() storehistory.Position {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.position
}
func (r *router) ApplyServerList(_ storehistory.Position, list discovery.ServerList, _ string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.position = storehistory.Later(r.position, list.At)
}
func (r *router) Freshness() freshness.State {
	r.mu.Lock()
	defer r.mu.Unlock()
	return freshness.State{Version: r.version, List: r.position, ConfigAt: r.fresh.ConfigAt(), ConfirmedAt: r.fresh.ConfirmedAt()}
}
func (r *router) ObservePeer(peer freshness.State) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.fresh.Hear(peer, r.version, r.position)
}
func (r *router) StoreEra() int64 { r.mu.Lock(); defer r.mu.Unlock(); return r.storeEra }
func (r *router) ObserveStoreEra(era int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.observedEra = max(r.observedEra, era)
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
		for i := range n {
			r := net.start(i, n)
			all = append(all, r)
			wg.Go(func() { _ = r.gossip.Run(ctx) })
		}
		time.Sleep(5 * time.Second)
		test(NewWithT(t), net, all)
		stop()
		wg.Wait()
		time.Sleep(time.Second) // calls to peers end by their timeouts
		synctest.Wait()
	})
}

// start adds the i-th router of a number of them to the network.
func (net *network) start(i, routers int) *router {
	log := logrus.New()
	log.SetOutput(io.Discard)
	seeds := net.seeds
	if len(seeds) == 0 {
		seeds = []string{"call-0"}
	}
	r := &router{servers: registry.New(), role: storereader.Idle}
	r.limits = ratelimit.New(decision.Config{Self: fmt.Sprintf("router-%d", i), Peers: r.peerNames, Demand: func(string, time.Time) float64 { return 1 }}, log.WithField("part", "limits"))
	r.quarantine = quarantine.New(net.contactTime, func() { r.gossip.Trigger() }, log.WithField("part", "quarantine"))
	r.quarantine.CheckServers(quarantine.Checks{
		Listens: func(context.Context, string) (bool, error) { return !r.serversEnded.Load(), nil },
		Leaves:  func(*server.Server) bool { return false },
	})
	r.servers.Set(storehistory.Position{Revision: 1}, []server.Server{{ID: "e", Service: "engines", Address: "10.9.0.1:1", Domain: "a"}})
	r.budget = retrybudget.New(retrybudget.Config{Ratio: 1, Window: 10 * time.Second, Lending: true, Routers: func() int { return routers }}, time.Now())
	self := gossip.Host{Name: fmt.Sprintf("router-%d", i), Address: fmt.Sprintf("call-%d", i), DatagramAddress: fmt.Sprintf("notice-%d", i)}
	r.gossip = gossip.New(gossip.Config{
		Self: self, Seeds: seeds, Caller: net, Datagrams: sender{net, r}, State: r, Servers: r.servers, Sessions: sessions.NewTable(), RetryBudget: r.budget,
		Quarantine:         r.quarantine,
		Limits:             r.limits,
		EngineUnresponsive: func(e *registry.Entry) { r.mu.Lock(); r.unresponsive = append(r.unresponsive, e.ID); r.mu.Unlock() },
		Log:                log.WithField("part", "gossip"),
	})
	s := control.NewServer()
	r.gossip.Register(s)
	net.mu.Lock()
	net.servers[self.Address], net.receive[self.DatagramAddress] = s, r.gossip.Receive
	net.mu.Unlock()
	return r
}

// seeStoreEra lets the store name an era to the router.
func (r *router) seeStoreEra(era int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.storeEra = era
}

// heardStoreEra returns the newest era of the store that a peer named.
func (r *router) heardStoreEra() int64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.observedEra
}
