package gossip

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"wisteriafield/internal/backend/registry"
	"wisteriafield/internal/base/loop"
	"wisteriafield/internal/decision/dissemination"
	"wisteriafield/internal/decision/freshness"
	"wisteriafield/internal/decision/retrybudget"
	"wisteriafield/internal/decision/storehistory"
	"wisteriafield/internal/decision/storereader"
	"wisteriafield/internal/decision/uplink"
	"wisteriafield/internal/router/control"
	"wisteriafield/internal/router/sessions"
)

// Config holds the dependencies and settings of a Gossip.
type Config struct {
	Self      Host
	Seeds     []string // addresses of the first peers to call
	Caller    Caller
	Datagrams interface {
		Send(address string, datagram []byte) error
	}
	State       State
	Servers     *registry.Registry
	Sessions    *sessions.Table
	RetryBudget RetryBudget
	Quarantine  Quarantine
	Limits      Limits
	// Placement handles the placement messages of peers; nil to ignore them.
	Placement interface{ Receive(message []byte) }
	// EngineUnresponsive is called when a peer reports an engine as unresponsive.
	EngineUnresponsive func(entry *registry.Entry)
	Log                *logrus.Entry
}

// Gossip exchanges state with peers.
type Gossip struct {
	cfg     Config
	trigger chan struct{}
	started time.Time

	mu    sync.Mutex
	peers map[string]*peer // by address
	// uninformed are the addresses of peers that said in this router's first moments that
	// they do not know what the fleet knew.
	uninformed map[string]bool

	trackedPosition storehistory.Position // of this router's server list that laggingSince applies to
	laggingSince    time.Time             // when a peer was first seen with a newer list; zero if none

	announced Announcement
	borrowing borrowing

	pullingConfig, pullingServerList atomic.Bool // a fetch is in progress
	arrivals                         freshness.Arrivals

	joined       atomic.Bool // a peer has told what the fleet knew before this router started
	sendRounds   atomic.Int64
	peersChanged atomic.Bool // a peer became known since the last message that lists peers
	uplink       *uplink.Uplink
	compressed   compressedConfig
}

// peer is the state that this router holds about another router.
type peer struct {
	host            Host // Name is empty until the peer's first message
	address         string
	lastHeartbeatAt time.Time // newest heartbeat, direct or relayed by another peer
	lastMessageAt   time.Time // last message from the peer itself
	lastContactAt   time.Time // last exchange call to it
	addedAt         time.Time
	stopping        bool
	loads           map[string]registry.Share
	attempts        map[string]retrybudget.Counts // by service, as it last reported
	calling         bool                          // an exchange call is in progress
	readsStore      bool
	storeFailing    bool                  // the store did not answer its last call
	version         int64                 // of its configuration
	position        storehistory.Position // of its server list
	storeReachedAt  time.Time             // when the store last answered it
}

// New returns a Gossip that knows only the seeds.
func New(cfg Config) *Gossip {
	g := &Gossip{
		cfg: cfg, trigger: make(chan struct{}, 1), started: time.Now(), peers: make(map[string]*peer),
		uplink: uplink.New(cfg.Self.LinkMbps * 1e6 / 8),
	}
	for _, address := range cfg.Seeds {
		g.Add(Host{Address: address})
	}
	return g
}

// Register adds the methods that peers call to s.
func (g *Gossip) Register(s *control.Server) {
	g.registerSessions(s)
	g.registerLending(s)
	s.Handle(methodExchange, func(_ context.Context, params json.RawMessage) (any, error) {
		m, err := control.DecodeParams[message](params)
		if err != nil {
			return nil, err
		}
		go g.handle(m)
		return g.buildMessage(true, maxCallNews), nil
	})
	s.Handle(methodConfig, func(context.Context, json.RawMessage) (any, error) { return g.serveConfig() })
	s.Handle(methodServers, func(_ context.Context, params json.RawMessage) (any, error) {
		req, err := control.DecodeParams[serversRequest](params)
		if err != nil {
			return nil, err
		}
		return g.serveServerList(req), nil
	})
}

// Trigger makes the next exchange due at once.
func (g *Gossip) Trigger() {
	select {
	case g.trigger <- struct{}{}:
	default: // an exchange is already due
	}
}

// LivePeers returns the peers that have a recent heartbeat and are not stopping.
func (g *Gossip) LivePeers(now time.Time) []Host {
	g.mu.Lock()
	defer g.mu.Unlock()
	var hosts []Host
	for _, p := range g.livePeers(g.plan(), now) {
		hosts = append(hosts, p.host)
	}
	return hosts
}

// StoreReaderCandidates returns the live peers as candidates for reading the store.
func (g *Gossip) StoreReaderCandidates(now time.Time) []storereader.Router {
	g.mu.Lock()
	defer g.mu.Unlock()
	var routers []storereader.Router
	for _, p := range g.livePeers(g.plan(), now) {
		routers = append(routers, storereader.Router{Name: p.host.Name, ReadsStore: p.readsStore, Failing: p.storeFailing, ReachedAt: p.storeReachedAt, HeardAt: p.lastMessageAt, LinkRate: p.host.LinkMbps})
	}
	return routers
}

// plan returns the dissemination plan for a fleet of this size. The caller holds mu.
func (g *Gossip) plan() dissemination.Plan { return dissemination.NewPlan(len(g.peers)) }

// interval returns the time between exchanges, less half a checkInterval, since Run
// checks whether an exchange is due only at ticks.
func (g *Gossip) interval(changed bool) time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	if changed {
		return g.plan().BusyInterval - checkInterval/2
	}
	return g.plan().IdleInterval - checkInterval/2
}

// Run exchanges state with peers until ctx ends.
func (g *Gossip) Run(ctx context.Context) error {
	ticker := time.NewTicker(checkInterval)
	defer ticker.Stop()
	go loop.Every(ctx, freshness.AliveInterval, func(time.Time) { g.arrivals.Alive(time.Now()) })
	g.Trigger()
	var lastSent time.Time
	var sentChanges uint64
	for {
		triggered := false
		select {
		case <-ctx.Done():
			return nil
		case <-g.trigger:
			triggered = true
		case <-ticker.C:
		}
		now := time.Now()
		g.dropStaleLoads(now)
		changes := g.cfg.Servers.ChangeCount()
		if !triggered && now.Sub(lastSent) < g.interval(changes != sentChanges) {
			continue
		}
		lastSent, sentChanges = now, changes
		g.sendDatagrams(now)
		g.contactSilentPeers(ctx, now)
		if triggered {
			loop.Sleep(ctx, minTriggerInterval)
		}
	}
}

// sendDatagrams sends this router's state to the current targets.
func (g *Gossip) sendDatagrams(now time.Time) {
	listDue := g.sendRounds.Add(1)%datagramsPerPeerList == 1
	m := g.buildMessage(g.peersChanged.Swap(false) || listDue, g.maxNews(now))
	encoded, err := json.Marshal(m)
	if err == nil && len(encoded) > maxDatagramBytes {
		m.Loads = nil
		encoded, err = json.Marshal(m)
	}
	for err == nil && len(encoded) > maxDatagramBytes && len(m.Crashes) > 0 {
		m.Crashes = m.Crashes[:len(m.Crashes)/2] // the most telling come first
		encoded, err = json.Marshal(m)
	}
	if err != nil {
		g.cfg.Log.WithError(err).Error("cannot encode gossip message")
		return
	}
	for _, address := range g.targets(now) {
		if err := g.cfg.Datagrams.Send(address, encoded); err != nil {
			g.cfg.Log.WithField("address", address).WithError(err).Debug("cannot send datagram to peer")
		}
	}
}

// announces reports whether this router sends to all peers, so that they get changes of
// the store, and the fact that it answers, without a relay. A router without answers does
// not: during an outage of the store many may try it.
func (g *Gossip) announces(now time.Time) bool {
	return g.cfg.State.StoreRole() != storereader.Idle && now.Sub(g.cfg.State.StoreReached()) <= lagTimeout
}

// targets picks the datagram addresses of the peers to send to now.
func (g *Gossip) targets(now time.Time) []string {
	g.mu.Lock()
	defer g.mu.Unlock()
	era := max(g.cfg.State.StoreEra(), g.cfg.State.ServerPosition().Era)
	var peers, readers []*peer
	for _, p := range g.peers {
		if p.host.DatagramAddress == "" || now.Sub(p.lastHeartbeatAt) >= peerTTL {
			continue
		}
		if p.readsStore && p.position.Revision > 0 && p.position.Era < era {
			readers = append(readers, p)
			continue
		}
		peers = append(peers, p)
	}
	// Some that read the store when last heard from no longer do.
	slices.SortFunc(readers, func(p, q *peer) int { return q.lastMessageAt.Compare(p.lastMessageAt) })
	n := min(len(readers), g.plan().FanOut)
	readers, peers = readers[:n], append(peers, readers[n:]...)
	if !g.announces(now) {
		rand.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
		peers = peers[:min(len(peers), g.plan().FanOut)]
	}
	// Readers that do not know the store's era have to read it at once.
	var addresses []string
	for _, p := range append(readers, peers...) {
		addresses = append(addresses, p.host.DatagramAddress)
	}
	return addresses
}

// Receive handles a datagram from a peer.
func (g *Gossip) Receive(datagram []byte) {
	var m message
	if err := json.Unmarshal(datagram, &m); err != nil {
		g.cfg.Log.WithError(err).Info("invalid datagram ignored")
		return
	}
	if m.SessionRecord != nil {
		g.cfg.Sessions.Put(*m.SessionRecord, time.Now())
		return
	}
	if m.Placement != nil {
		if g.cfg.Placement != nil {
			g.cfg.Placement.Receive(m.Placement)
		}
		return
	}
	g.handle(m)
}
