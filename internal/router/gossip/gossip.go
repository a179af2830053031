package gossip

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"wisteriafield/internal/backend/registry"
	"wisteriafield/internal/base/loop"
	"wisteriafield/internal/decision/dissemination"
	"wisteriafield/internal/decision/storereader"
	"wisteriafield/internal/decision/uplink"
	"wisteriafield/internal/router/control"
	"wisteriafield/internal/router/sessions"
)

// Config is what a gossip needs.
type Config struct {
	Self      Host
	Seeds     []string // peers' addresses to begin with
	Caller    Caller
	Datagrams interface {
		Send(address string, datagram []byte) error
	}
	State       State
	Servers     *registry.Registry
	Sessions    *sessions.Table
	RetryBudget RetryBudget
	// EngineUnresponsive is told that a peer found an engine silent.
	EngineUnresponsive func(entry *registry.Entry)
	Log                *logrus.Entry
}

// Gossip exchanges with peers.
type Gossip struct {
	cfg     Config
	kick    chan struct{}
	started time.Time

	mu    sync.Mutex
	peers map[string]*peer // by address

	knownRevision int64     // of this router's server list
	behindAt      time.Time // since when a peer has a newer one

	pullingConfig, pullingServers atomic.Bool // one is on its way

	messages atomic.Int64
	uplink   *uplink.Uplink
	packed   packed
}

// peer is a router that this one knows of.
type peer struct {
	host     Host // Name is empty until it answered once
	address  string
	seenAt   time.Time // last sign of life, also through others
	toldAt   time.Time // its own last message
	triedAt  time.Time
	addedAt  time.Time
	stopping bool
	loads    map[string]registry.Share
	calling  bool
	reads    bool
	version  int64     // of its configuration
	revision int64     // of its server list
	reached  time.Time // when the store answered it last
}

// New returns a gossip that knows the seeds only.
func New(cfg Config) *Gossip {
	g := &Gossip{
		cfg: cfg, kick: make(chan struct{}, 1), started: time.Now(), peers: make(map[string]*peer),
		uplink: uplink.New(cfg.Self.LinkMbps * 1e6 / 8),
	}
	for _, address := range cfg.Seeds {
		g.Add(Host{Address: address})
	}
	return g
}

// Register adds the methods for peers.
func (g *Gossip) Register(s *control.Server) {
	g.registerRuns(s)
	s.Handle(methodExchange, func(_ context.Context, params json.RawMessage) (any, error) {
		m, err := control.Decode[message](params)
		if err != nil {
			return nil, err
		}
		go g.take(m)
		return g.message(true), nil
	})
	s.Handle(methodConfig, func(context.Context, json.RawMessage) (any, error) { return g.giveConfig() })
	s.Handle(methodServers, func(_ context.Context, params json.RawMessage) (any, error) {
		req, err := control.Decode[serversRequest](params)
		if err != nil {
			return nil, err
		}
		return g.giveServers(req), nil
	})
}

// Add makes a peer known.
func (g *Gossip) Add(h Host) {
	if h.Address == "" || h.Address == g.cfg.Self.Address {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.peers[h.Address] == nil {
		g.peers[h.Address] = &peer{address: h.Address, addedAt: time.Now()}
	}
}

// Trigger makes the next exchange due at once.
func (g *Gossip) Trigger() {
	select {
	case g.kick <- struct{}{}:
	default: // one is due already
	}
}

// LivePeers returns the peers that were heard of lately and do not stop.
func (g *Gossip) LivePeers(now time.Time) []Host {
	g.mu.Lock()
	defer g.mu.Unlock()
	fresh := g.plan().PeerTimeout
	var hosts []Host
	for _, p := range g.peers {
		if p.host.Name != "" && !p.stopping && now.Sub(p.seenAt) < fresh {
			hosts = append(hosts, p.host)
		}
	}
	return hosts
}

// StoreReaderCandidates returns the live peers as candidates for reading the store.
func (g *Gossip) StoreReaderCandidates(now time.Time) []storereader.Router {
	g.mu.Lock()
	defer g.mu.Unlock()
	fresh := g.plan().PeerTimeout
	var routers []storereader.Router
	for _, p := range g.peers {
		if p.host.Name != "" && !p.stopping && now.Sub(p.seenAt) < fresh {
			routers = append(routers, storereader.Router{Name: p.host.Name, ReadsStore: p.reads, ReachedAt: p.reached, LinkRate: p.host.LinkMbps})
		}
	}
	return routers
}

// plan returns how this router exchanges in a fleet of this size. The caller holds
// mu.
func (g *Gossip) plan() dissemination.Plan { return dissemination.NewPlan(len(g.peers)) }

// period returns the time between exchanges, less what the clock's grain takes.
func (g *Gossip) period(changed bool) time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	if changed {
		return g.plan().BusyInterval - tick/2
	}
	return g.plan().IdleInterval - tick/2
}

// KnowsLoads reports whether the loads of all peers are known here, as of an
// exchange ago. In a large fleet, and while a router finds its peers, they are not.
func (g *Gossip) KnowsLoads(now time.Time) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return now.Sub(g.started) > loadsFor && g.plan().FullMesh
}

// Run sends and receives until ctx ends.
func (g *Gossip) Run(ctx context.Context) error {
	t := time.NewTicker(tick)
	defer t.Stop()
	var last time.Time
	var told uint64
	for {
		kicked := false
		select {
		case <-ctx.Done():
			return nil
		case <-g.kick:
			kicked = true
		case <-t.C:
		}
		now := time.Now()
		g.dropStale(now)
		state := g.cfg.Servers.ChangeCount()
		if !kicked && now.Sub(last) < g.period(state != told) {
			continue
		}
		last, told = now, state
		g.send(now)
		g.greet(ctx, now)
		if kicked {
			loop.Pause(ctx, kickPause)
		}
	}
}

// send tells some of the peers by datagram.
func (g *Gossip) send(now time.Time) {
	m := g.message(g.messages.Add(1)%listEvery == 1)
	encoded, err := json.Marshal(m)
	if err == nil && len(encoded) > maxDatagram {
		m.Loads = nil
		encoded, err = json.Marshal(m)
	}
	if err != nil {
		g.cfg.Log.WithError(err).Error("message not encoded")
		return
	}
	for _, address := range g.targets(now) {
		if err := g.cfg.Datagrams.Send(address, encoded); err != nil {
			g.cfg.Log.WithField("address", address).WithError(err).Debug("datagram not sent")
		}
	}
}

// targets picks the peers to tell now. A router that reads the store tells all, so
// that news of the store, and that it still reads, take no detour.
func (g *Gossip) targets(now time.Time) []string {
	g.mu.Lock()
	defer g.mu.Unlock()
	var addresses []string
	for _, p := range g.peers {
		if p.host.DatagramAddress != "" && now.Sub(p.seenAt) < forgetAfter {
			addresses = append(addresses, p.host.DatagramAddress)
		}
	}
	if g.cfg.State.ReadsStore() {
		return addresses
	}
	rand.Shuffle(len(addresses), func(i, j int) { addresses[i], addresses[j] = addresses[j], addresses[i] })
	return addresses[:min(len(addresses), g.plan().FanOut)]
}

// Receive takes a peer's datagram.
func (g *Gossip) Receive(datagram []byte) {
	var m message
	if err := json.Unmarshal(datagram, &m); err != nil {
		g.cfg.Log.WithError(err).Info("datagram passed over")
		return
	}
	if m.Run != nil {
		g.cfg.Sessions.Put(*m.Run, time.Now())
		return
	}
	g.take(m)
}
