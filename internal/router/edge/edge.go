// Package edge is a router on the users' platform: it follows the platform's
// store, answers callers and forwards to backend servers.
package edge

import (
	"context"
	"encoding/json"
	"fmt"
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
	"wisteriafield/internal/config/routes"
	"wisteriafield/internal/decision/link"
	"wisteriafield/internal/decision/retrybudget"
	"wisteriafield/internal/router/control"
	"wisteriafield/internal/router/discovery"
	"wisteriafield/internal/router/forward"
	"wisteriafield/internal/router/gossip"
	"wisteriafield/internal/router/relay"
	"wisteriafield/internal/router/sessions"
)

const (
	headerTimeout = 5 * time.Second
	// idleTimeout is above what any configuration lets callers stay idle for.
	idleTimeout = 2 * time.Minute
	maxHeader   = 64 << 10 // bytes, before the configuration's bound applies
)

// Client speaks to backend servers.
type Client interface {
	relay.Client
	forward.Client
}

// Store is the platform's store.
type Store interface {
	discovery.Store
	discovery.LeaseStore
}

// hostsPrefix begins the keys of the routers' own entries in the store.
const hostsPrefix = "wisteriafield/hosts/"

// Config is what a router needs.
type Config struct {
	Host            string
	Domain          string
	CallerAddress   string
	ReadyAddress    string
	AdminAddress    string // metrics and state; empty for none
	PeerAddress     string
	DatagramAddress string // for datagrams of peers
	Seeds           []string
	LinkMbps        float64       // of this host, 0 if not known
	Grace           time.Duration // from the stop signal to the kill
	RetryBudget     retrybudget.Config

	Store         Store
	ConfigKey     string
	ServersPrefix string
	DecodeConfig  func(value []byte) (routes.Config, error)
	DecodeServer  func(key string, value []byte) (server.Server, error)
	Protocol      front.Protocol
	Client        Client
	ReadyPath     string
	Log           *logrus.Logger
}

// Edge is a router.
type Edge struct {
	cfg      Config
	log      *logrus.Logger
	servers  *registry.Registry
	configMu sync.Mutex // of writers of table and config
	table    atomic.Pointer[routes.Table]
	listed   atomic.Bool // the server list was read once
	stopAt   atomic.Int64
	active   atomic.Int64           // requests that are being answered
	config   atomic.Pointer[[]byte] // as the operator wrote it
	configAt atomic.Int64           // Unix nanoseconds since when it is in force
	self     gossip.Host
	follower *discovery.Follower
	gossip   *gossip.Gossip
	notices  atomic.Pointer[gossip.Datagrams]
	callers  *http.Server
	ready    *http.Server
	peers    *http.Server
	operator *http.Server
}

// New returns a router that does not run yet.
func New(cfg Config) *Edge {
	e := &Edge{cfg: cfg, log: cfg.Log, servers: registry.New()}
	e.self = gossip.Host{Name: cfg.Host, Domain: cfg.Domain, Address: cfg.PeerAddress, DatagramAddress: cfg.DatagramAddress, Started: time.Now().UnixNano(), LinkMbps: cfg.LinkMbps}
	e.follower = discovery.New(discovery.Config{
		Store: cfg.Store, ConfigKey: cfg.ConfigKey, ServersPrefix: cfg.ServersPrefix,
		DecodeServer: cfg.DecodeServer, SetConfig: e.SetConfig, SetServers: e.setServers,
		HostsPrefix: hostsPrefix, AddHost: e.setHost, OnChange: func() { e.gossip.Trigger() },
		HasConfig: func() bool { return e.table.Load() != nil }, ShouldRead: e.reads, Log: e.part("store"),
	})
	cfg.RetryBudget.Routers = func() int { return 1 + len(e.gossip.LivePeers(time.Now())) }
	budget := retrybudget.New(cfg.RetryBudget, time.Now())
	links := link.New()
	streams := relay.New(relay.Config{
		Servers: e.servers, Client: cfg.Client, RetryBudget: budget,
		Links: links, Domain: cfg.Domain, Sessions: e, OnUnresponsive: func() { e.gossip.Trigger() },
		KnowsLoads: func() bool { return e.gossip.KnowsLoads(time.Now()) }, Log: e.part("stream"),
	})
	e.gossip = gossip.New(gossip.Config{
		Self: e.self, Seeds: cfg.Seeds, Caller: control.NewClient(""), Datagrams: e, State: e, Servers: e.servers,
		Sessions: sessions.NewTable(), RetryBudget: budget, EngineUnresponsive: streams.EngineUnresponsive, Log: e.part("gossip"),
	})
	handler := front.New(front.Config{
		Protocol:     cfg.Protocol,
		Table:        e.table.Load,
		Streaming:    streams,
		NonStreaming: forward.New(forward.Config{Servers: e.servers, Client: cfg.Client, RetryBudget: budget, Links: links, Domain: cfg.Domain, Log: e.part("plain")}),
		RetryBudget:  budget,
		Accepts:      e.takes,
		Stopping:     e.Stopping,
		Log:          e.part("front"),
	})
	e.callers = e.server(e.counted(handler))
	mux := http.NewServeMux()
	mux.HandleFunc(cfg.ReadyPath, e.answerReady)
	e.ready = e.server(mux)
	calls := control.NewServer()
	e.gossip.Register(calls)
	peers := http.NewServeMux()
	calls.Register(peers)
	e.peers = e.server(peers)
	e.operator = e.server(e.admin())
	return e
}

func (e *Edge) part(name string) *logrus.Entry { return e.log.WithField("part", name) }

func (e *Edge) server(h http.Handler) *http.Server {
	return &http.Server{
		Handler: h, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeader,
		ErrorLog: discardLog(),
	}
}

// counted counts the requests that are being answered.
func (e *Edge) counted(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		e.active.Add(1)
		defer e.active.Add(-1)
		h.ServeHTTP(w, r)
	})
}

// Run serves until ctx ends, then drains and stops.
func (e *Edge) Run(ctx context.Context) error {
	work, stop := context.WithCancel(context.Background())
	defer stop()
	group, work := errgroup.WithContext(work)
	servers := []struct {
		address string
		server  *http.Server
	}{{e.cfg.CallerAddress, e.callers}, {e.cfg.ReadyAddress, e.ready}, {e.cfg.PeerAddress, e.peers}, {e.cfg.AdminAddress, e.operator}}
	for _, s := range servers {
		if s.address == "" {
			continue
		}
		ln, err := net.Listen("tcp", s.address)
		if err != nil {
			return fmt.Errorf("listen: %w", err)
		}
		group.Go(func() error { return serve(s.server, ln) })
	}
	loops, err := e.loops()
	if err != nil {
		return err
	}
	for _, run := range loops {
		group.Go(func() error { return run(work) })
	}
	e.part("node").WithField("host", e.cfg.Host).Info("started")
	select {
	case <-ctx.Done():
		e.drain(time.Now())
	case <-work.Done():
	}
	stop()
	for _, s := range servers {
		_ = s.server.Close()
	}
	err = group.Wait()
	e.part("node").WithError(err).Info("stopped")
	return err
}

// loops returns what runs beside the servers.
func (e *Edge) loops() ([]func(context.Context) error, error) {
	loops := []func(context.Context) error{e.follower.Run}
	if e.cfg.PeerAddress == "" {
		return loops, nil
	}
	notices, err := gossip.ListenDatagrams(e.cfg.DatagramAddress)
	if err != nil {
		return nil, err
	}
	e.notices.Store(notices)
	value, err := json.Marshal(e.self)
	if err != nil {
		return nil, fmt.Errorf("encode host entry: %w", err)
	}
	registrar := &discovery.Registrar{Store: e.cfg.Store, Key: hostsPrefix + e.cfg.Host, Value: value, Log: e.part("store")}
	receive := func(ctx context.Context) error { return notices.Run(ctx, e.gossip.Receive) }
	return append(loops, e.gossip.Run, registrar.Run, receive), nil
}

// Send sends a peer a datagram.
func (e *Edge) Send(address string, datagram []byte) error {
	n := e.notices.Load()
	if n == nil {
		return nil // not running yet
	}
	return n.Send(address, datagram)
}

func serve(s *http.Server, ln net.Listener) error {
	if err := s.Serve(ln); err != http.ErrServerClosed {
		return fmt.Errorf("serve %s: %w", ln.Addr(), err)
	}
	return nil
}
