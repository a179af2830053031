// Package edge is a router on the users' platform. It follows the platform's store,
// answers callers and forwards their requests to backend servers.
package edge

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"
	"golang.org/x/sync/errgroup"

	"wisteriafield/internal/backend/registry"
	"wisteriafield/internal/backend/server"
	"wisteriafield/internal/caller/front"
	"wisteriafield/internal/caller/http1"
	"wisteriafield/internal/config/routes"
	"wisteriafield/internal/decision/answermemory"
	"wisteriafield/internal/decision/balance"
	"wisteriafield/internal/decision/link"
	decision "wisteriafield/internal/decision/ratelimit"
	"wisteriafield/internal/decision/retrybudget"
	"wisteriafield/internal/decision/storereader"
	"wisteriafield/internal/router/control"
	"wisteriafield/internal/router/discovery"
	"wisteriafield/internal/router/forward"
	"wisteriafield/internal/router/gossip"
	"wisteriafield/internal/router/placing"
	"wisteriafield/internal/router/quarantine"
	"wisteriafield/internal/router/ratelimit"
	"wisteriafield/internal/router/relay"
	"wisteriafield/internal/router/sessions"
)

const (
	headerTimeout = 5 * time.Second
	// idleTimeout is above the idle time of callers that any configuration allows.
	idleTimeout    = 2 * time.Minute
	maxHeaderBytes = 64 << 10 // a first bound, before the configuration's bound applies
)

// Connections are connections to backend servers that are kept between requests.
type Connections interface {
	// SetServers sets the servers to which connections are kept. maxIdle returns how many idle
	// ones to one server of a service this router may keep.
	SetServers(servers []server.Server, maxIdle func(service string) int)
}

// Store is the platform's store.
type Store interface {
	discovery.Store
	discovery.LeaseStore
}

// hostsPrefix is the prefix of the keys of the routers' own entries in the store.
const hostsPrefix = "wisteriafield/hosts/"

// Config holds the dependencies and settings of a router.
type Config struct {
	Host            string
	Domain          string // failure domain
	CallerAddress   string
	ReadyAddress    string
	AdminAddress    string // for metrics and dumps; empty for none
	PeerAddress     string
	DatagramAddress string        // for datagrams from peers
	Seeds           []string      // addresses of the first peers to call
	LinkMbps        float64       // of this host's network link, 0 if unknown
	Grace           time.Duration // from the stop signal to the kill
	ChangeTime      time.Duration // in which a change of the configuration or a server must take effect
	ContactTime     time.Duration // within which connected routers hear each other's news
	RetryBudget     retrybudget.Config
	AnswerMemory    *answermemory.Budget // of the answers of backend servers
	RequestMemory   *answermemory.Budget // of the bodies of callers' requests
	CallerLimits    http1.Limits

	Store         Store
	ConfigKey     string
	ServersPrefix string
	DecodeConfig  func(value []byte) (routes.Config, error)
	DecodeServer  func(key string, value []byte) (server.Server, error)
	Protocol      front.Protocol
	Client        Client
	Connections   Connections // to the backend servers; nil if none are kept
	ReadyPath     string
	Log           *logrus.Logger
}

// Edge is a router.
type Edge struct {
	cfg             Config
	log             *logrus.Logger
	servers         *registry.Registry
	configMu        sync.Mutex // held by writers of routeTable and configValue
	routeTable      atomic.Pointer[routes.Table]
	serversLoaded   atomic.Bool            // a server list was applied at least once
	stoppingAt      atomic.Int64           // Unix nanoseconds when the drain began; 0 before
	activeRequests  atomic.Int64           // requests in progress
	configValue     atomic.Pointer[[]byte] // the configuration in effect, as the operator wrote it
	configSince     atomic.Int64           // Unix nanoseconds when the configuration took effect
	self            gossip.Host
	follower        *discovery.Follower
	elector         *storereader.Elector // used by the follower's goroutine only
	firstTryPlace   float64              // of this router's first try in an outage of the store, among those of all routers
	gossip          *gossip.Gossip
	quarantine      *quarantine.Guard
	limits          *ratelimit.Limiter
	placing         *placing.Placing
	datagrams       atomic.Pointer[gossip.Datagrams]
	callerServer    *http.Server
	callerConns     *http1.Conns
	cancelRequests  context.CancelCauseFunc // of the requests of callers
	readinessServer *http.Server
	peerServer      *http.Server
	adminServer     *http.Server
}

// New returns a router, which Run starts.
func New(cfg Config) *Edge {
	e := &Edge{
		cfg: cfg, log: cfg.Log, servers: registry.New(), elector: storereader.NewElector(nil),
		firstTryPlace: rand.Float64(),
	}
	e.callerConns = http1.New(headerTimeout, e.logger("front"))
	e.callerConns.Limits = cfg.CallerLimits
	e.callerConns.RequestID = func(r *http.Request) string { return cfg.Protocol.DecodeRequest(r, time.Now()).ID }
	e.self = gossip.Host{Name: cfg.Host, Domain: cfg.Domain, Address: cfg.PeerAddress, DatagramAddress: cfg.DatagramAddress, Started: time.Now().UnixNano(), LinkMbps: cfg.LinkMbps}
	e.follower = discovery.New(discovery.Config{
		Store: cfg.Store, ConfigKey: cfg.ConfigKey, ServersPrefix: cfg.ServersPrefix,
		DecodeServer: cfg.DecodeServer, SetConfig: e.SetConfig, SetServers: e.setServers,
		HostsPrefix: hostsPrefix, AddHost: e.addHost, OnChange: func() { e.gossip.Trigger() },
		HasConfig: func() bool { return e.routeTable.Load() != nil }, Decide: e.decideStoreRole, ChangeTime: cfg.ChangeTime, Log: e.logger("store"),
	})
	cfg.RetryBudget.Routers = func() int { return 1 + len(e.gossip.LivePeers(time.Now())) }
	cfg.RetryBudget.Lending = cfg.PeerAddress != ""
	var borrow func(service string, n int) <-chan struct{}
	if cfg.RetryBudget.Lending {
		borrow = func(service string, n int) <-chan struct{} { return e.gossip.Borrow(service, n) }
	}
	retryBudget := retrybudget.New(cfg.RetryBudget, time.Now())
	links := link.New()
	e.limits = ratelimit.New(decision.Config{
		Self: cfg.Host, Peers: e.peerNames, Demand: retryBudget.Demand, ContactTime: cfg.ContactTime,
	}, e.logger("limits"))
	e.quarantine = quarantine.New(cfg.ContactTime, func() { e.gossip.Trigger() }, e.logger("quarantine"))
	e.quarantine.CheckServers(e.serverChecks())
	var streams *relay.Relay
	e.placing = placing.New(placing.Config{
		Self: cfg.Host, Servers: e.servers, Limits: e.limits, Cost: balance.FinishCost, Checks: engineChecks{func() *relay.Relay { return streams }},
		Active: func() bool { return e.gossip.LargeFleet() }, Peers: func(now time.Time) []gossip.Host { return e.gossip.LivePeers(now) },
		Send: func(address string, message []byte) error { return e.gossip.SendPlacement(address, message) }, Log: e.logger("placing"),
	})
	streams = relay.New(relay.Config{
		Servers: e.servers, Client: cfg.Client, RetryBudget: retryBudget, Borrow: borrow,
		Links: links, Domain: cfg.Domain, Placement: e.placing, Sessions: e, Quarantine: e.quarantine, Limits: e.limits, Memory: cfg.AnswerMemory, OnUnresponsive: func() { e.gossip.Trigger() },
		KnowsLoads: func() bool { return e.gossip.KnowsLoads(time.Now()) }, Log: e.logger("stream"),
	})
	e.gossip = gossip.New(gossip.Config{
		Self: e.self, Seeds: cfg.Seeds, Caller: control.NewClient(""), Datagrams: e, State: e, Servers: e.servers,
		Sessions: sessions.NewTable(), RetryBudget: retryBudget, Quarantine: e.quarantine, Limits: e.limits, Placement: e.placing, EngineUnresponsive: streams.EngineUnresponsive, Log: e.logger("gossip"),
	})
	handler := front.New(front.Config{
		Protocol:     cfg.Protocol,
		Table:        e.callersTable,
		Streaming:    streams,
		NonStreaming: forward.New(forward.Config{Servers: e.servers, Client: cfg.Client, RetryBudget: retryBudget, Borrow: borrow, Quarantine: e.quarantine, Limits: e.limits, Memory: cfg.AnswerMemory, Links: links, Domain: cfg.Domain, Log: e.logger("plain")}),
		RetryBudget:  retryBudget,
		Accepts:      e.accepts,
		Stopping:     e.Stopping,
		Memory:       cfg.RequestMemory,
		Log:          e.logger("front"),
	})
	e.callerServer = e.newCallerServer(handler)
	readinessMux := http.NewServeMux()
	readinessMux.HandleFunc(cfg.ReadyPath, e.handleReadiness)
	e.readinessServer = e.newServer(readinessMux)
	controlServer := control.NewServer()
	e.gossip.Register(controlServer)
	peerMux := http.NewServeMux()
	controlServer.Register(peerMux)
	e.peerServer = e.newServer(peerMux)
	e.adminServer = e.newServer(e.adminHandler())
	return e
}

// engineChecks are those of the relay, which is made after the placing that uses them.
type engineChecks struct{ relay func() *relay.Relay }

func (c engineChecks) CheckEngines(engines []*registry.Entry) { c.relay().CheckEngines(engines) }

func (c engineChecks) EngineUnresponsive(e *registry.Entry) { c.relay().EngineUnresponsive(e) }

func (e *Edge) logger(part string) *logrus.Entry { return e.log.WithField("part", part) }

func (e *Edge) newServer(h http.Handler) *http.Server {
	return &http.Server{
		Handler: h, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes,
		ErrorLog: discardLogger(),
	}
}

// newCallerServer returns the server of callers' requests.
func (e *Edge) newCallerServer(h http.Handler) *http.Server {
	s := e.newServer(e.observe(h))
	e.callerConns.Attach(s)
	var requests context.Context
	requests, e.cancelRequests = context.WithCancelCause(context.Background())
	s.BaseContext = func(net.Listener) context.Context { return requests }
	return s
}

// Run serves requests until ctx ends, then drains and stops.
func (e *Edge) Run(ctx context.Context) error {
	work, stop := context.WithCancel(context.Background())
	defer stop()
	group, work := errgroup.WithContext(work)
	servers := []struct {
		address string
		server  *http.Server
	}{{e.cfg.CallerAddress, e.callerServer}, {e.cfg.ReadyAddress, e.readinessServer}, {e.cfg.PeerAddress, e.peerServer}, {e.cfg.AdminAddress, e.adminServer}}
	for _, s := range servers {
		if s.address == "" {
			continue
		}
		ln, err := net.Listen("tcp", s.address)
		if err != nil {
			return fmt.Errorf("listen: %w", err)
		}
		if s.server == e.callerServer {
			ln = e.callerConns.Listen(ln)
		}
		group.Go(func() error { return http1.Serve(s.server, ln) })
	}
	loops, err := e.backgroundLoops()
	if err != nil {
		return err
	}
	for _, run := range loops {
		group.Go(func() error { return run(work) })
	}
	e.logger("node").WithField("host", e.cfg.Host).Info("router started")
	select {
	case <-ctx.Done():
		e.drain(time.Now())
	case <-work.Done():
	}
	e.callerConns.LogUnanswered()
	stop()
	for _, s := range servers {
		_ = s.server.Close()
	}
	err = group.Wait()
	e.logger("node").WithError(err).Info("router stopped")
	return err
}

// backgroundLoops returns the loops that run beside the HTTP servers.
func (e *Edge) backgroundLoops() ([]func(context.Context) error, error) {
	loops := []func(context.Context) error{e.follower.Run}
	if e.cfg.PeerAddress == "" {
		return loops, nil
	}
	datagrams, err := gossip.ListenDatagrams(e.cfg.DatagramAddress)
	if err != nil {
		return nil, err
	}
	e.datagrams.Store(datagrams)
	value, err := json.Marshal(e.self)
	if err != nil {
		return nil, fmt.Errorf("encode host entry: %w", err)
	}
	registrar := &discovery.Registrar{Store: e.cfg.Store, Key: hostsPrefix + e.cfg.Host, Value: value, ShouldList: e.shouldList, Era: e.follower.Era, Turn: e.listingTurn, Log: e.logger("store")}
	receive := func(ctx context.Context) error { return datagrams.Run(ctx, e.gossip.Receive) }
	return append(loops, e.gossip.Run, e.placing.Run, registrar.Run, receive), nil
}

// Send sends a datagram to a peer.
func (e *Edge) Send(address string, datagram []byte) error {
	datagrams := e.datagrams.Load()
	if datagrams == nil {
		return nil // Run has not opened the socket yet
	}
	return datagrams.Send(address, datagram)
}
