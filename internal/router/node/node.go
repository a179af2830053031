// Package node puts a router together from its parts and runs it.
package node

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"time"

	"github.com/google/uuid"
	"github.com/sirupsen/logrus"
	"golang.org/x/sync/errgroup"

	"wisteriafield/internal/backend/engine"
	"wisteriafield/internal/base/loop"
	"wisteriafield/internal/caller/openai"
	"wisteriafield/internal/caller/service"
	"wisteriafield/internal/config/document"
	"wisteriafield/internal/config/settings"
	"wisteriafield/internal/decision/claim"
	"wisteriafield/internal/platform/hosts"
	"wisteriafield/internal/router/configure"
	"wisteriafield/internal/router/control"
	"wisteriafield/internal/router/directory"
	"wisteriafield/internal/router/entry"
	"wisteriafield/internal/router/janitor"
	"wisteriafield/internal/router/keeper"
	"wisteriafield/internal/router/limits"
	"wisteriafield/internal/router/members"
	"wisteriafield/internal/router/planner"
	"wisteriafield/internal/router/stream"
	"wisteriafield/platform/kv"
)

const sweepEvery = 5 * time.Second

// Node is one router process.
type Node struct {
	cfg         settings.Settings
	log         *logrus.Logger
	incarnation string
	startedAt   time.Time

	store     *kv.Client
	hosts     *hosts.List
	members   *members.Members
	calls     *control.Client
	control   *control.Server
	configure *configure.Follower
	directory *directory.Directory
	limits    *limits.Limiter
	planner   *planner.Planner
	janitor   *janitor.Janitor
	keeper    *keeper.Keeper
	entry     *entry.Entry
	costs     *entry.WaitTable
	book      *claim.AttemptTable
	once      *service.NonIdempotentRunner

	caller *http.Server
	peer   *http.Server
	admin  *http.Server
}

// New returns a router that is not listening yet.
func New(cfg settings.Settings, log *logrus.Logger) *Node {
	n := &Node{cfg: cfg, log: log, incarnation: uuid.NewString(), startedAt: time.Now()}
	n.buildPlatform()
	n.buildPeers()
	n.buildRoles()
	n.buildServers()
	return n
}

func (n *Node) part(name string) *logrus.Entry { return n.log.WithField("part", name) }

func (n *Node) buildPlatform() {
	p := n.cfg.Platform
	n.store = kv.New(kv.Config{Address: p.Address, Credential: p.Credential, Timeout: p.Timeout})
	n.hosts = hosts.New(hosts.Config{Address: p.Address, Credential: p.Credential})
}

func (n *Node) buildPeers() {
	h := n.cfg.Host
	self := hosts.Host{
		Name: h.Name, Kind: hosts.Router, State: hosts.Live, Environment: h.Environment, Domain: h.Domain, Region: h.Region,
		CallerAddress: h.CallerAddress, PeerAddress: h.PeerAddress, AdminAddress: h.AdminAddress,
	}
	n.members = members.New(self, n.hosts)
	n.calls = control.NewClient(n.cfg.Credentials.Peer)
	n.control = control.NewServer()
	n.costs = entry.NewWaitTable()
	n.configure = configure.New(configure.Deps{
		Store: n.store, Peers: n.calls, Members: n.members, Log: n.part("configure"),
		ExpectedWaits:   func() map[string]time.Duration { return n.keeper.ExpectedWaits() },
		RecordPeerWaits: n.learnCosts,
	})
	n.configure.Register(n.control)
	n.directory = directory.New(n.members, n.calls, n.control)
	n.limits = limits.New(n.members, n.calls, n.control, n.configure.View)
}

func (n *Node) buildRoles() {
	engines := engine.New(n.cfg.Credentials.Orders)
	n.planner = planner.New(planner.Deps{
		Store: n.store, Peers: n.calls, Members: n.members, View: n.configure.View, Engines: engines, Log: n.part("planner"),
	})
	n.planner.Register(n.control)
	n.janitor = janitor.New(janitor.Deps{Store: n.store, IsLeader: n.planner.IsLeader, Now: time.Now, Log: n.part("janitor")})
	n.keeper = keeper.New(keeper.Deps{
		Members: n.members, Hosts: n.hosts, View: n.configure.View, Engines: engines, Log: n.part("keeper"),
		ModelVersion: n.planner.ModelVersion, Draining: n.planner.Draining,
		BetterKeeper: func(needs, without string) string { return n.costs.BestKeeper(needs, without, time.Now()) },
	})
	n.entry = entry.New(entry.Deps{
		Members: n.members, Hosts: n.hosts, View: n.configure.View, ModelVersion: n.planner.ModelVersion, Draining: n.planner.Draining,
		LocalKeeper: n.keeper, RemoteKeepers: stream.NewClient(n.cfg.Credentials.Peer),
		Directory: n.directory, Waits: n.costs, Log: n.part("entry"),
	})
	n.book = claim.NewAttemptTable()
	n.once = service.NewNonIdempotentRunner(service.NonIdempotentDeps{
		Store: n.store, Attempts: n.book, Router: n.cfg.Host.Name, Incarnation: n.incarnation, Log: n.part("claims"),
		ConsentClient: service.NewConsentExchange(n.members, n.calls, n.book, n.incarnation, n.control),
	})
}

func (n *Node) buildServers() {
	b := n.cfg.Bounds
	callers := http.NewServeMux()
	openai.New(openai.Deps{
		View: n.configure.View, Entry: n.entry, Limits: n.limits, ServedVersion: n.planner.ChooseVersion,
		MaxBodyBytes: int64(b.MaxBody), BodyTimeout: b.BodyTimeout,
	}).Register(callers)
	service.New(service.Deps{
		View: n.configure.View, Hosts: n.hosts, NonIdempotent: n.once, Log: n.part("service"),
		MaxBodyBytes: int64(b.MaxBody), BodyTimeout: b.BodyTimeout,
	}).Register(callers)
	n.registerHealth(callers)
	callers.HandleFunc("/", notFound)
	n.caller = n.server(callers)

	peers := http.NewServeMux()
	n.control.Register(peers)
	stream.NewServer(n.keeper, n.keeper, n.entry).Register(peers)
	n.peer = n.server(requireCredential(n.cfg.Credentials.Peer, peers))

	n.admin = n.server(n.adminHandler())
}

func (n *Node) server(h http.Handler) *http.Server {
	return &http.Server{
		Handler:           h,
		ReadHeaderTimeout: n.cfg.Bounds.HeaderTimeout,
		MaxHeaderBytes:    n.cfg.Bounds.MaxHeader,
		IdleTimeout:       time.Minute,
		ErrorLog:          discardLog(),
	}
}

func (n *Node) learnCosts(name string, waits map[string]time.Duration) {
	now := time.Now()
	for needs, wait := range waits {
		n.costs.Record(name, needs, wait, now)
	}
}

// Run listens and serves until ctx ends, then drains and stops.
func (n *Node) Run(ctx context.Context) error {
	listeners, err := n.listen()
	if err != nil {
		return err
	}
	work, stopWork := context.WithCancel(context.Background())
	defer stopWork()
	group, work := errgroup.WithContext(work)
	servers := []*http.Server{n.caller, n.peer, n.admin}
	for i, s := range servers {
		group.Go(func() error {
			if err := s.Serve(listeners[i]); err != http.ErrServerClosed {
				return fmt.Errorf("serve %s: %w", listeners[i].Addr(), err)
			}
			return nil
		})
	}
	for _, loop := range []func(context.Context) error{
		n.hosts.Run, n.configure.Watch, n.configure.Gossip, n.keeper.Run, n.entry.Run, n.limits.Run, n.planner.Lead, n.planner.Follow, n.janitor.Run, n.sweep,
	} {
		group.Go(func() error { return loop(work) })
	}
	n.part("node").WithField("name", n.cfg.Host.Name).Info("router is up")
	select {
	case <-ctx.Done():
		n.drain()
	case <-work.Done():
	}
	stopWork()
	for _, s := range servers {
		_ = s.Close()
	}
	return group.Wait()
}

func (n *Node) listen() ([]net.Listener, error) {
	h := n.cfg.Host
	var all []net.Listener
	for _, address := range []string{h.CallerAddress, h.PeerAddress, h.AdminAddress} {
		ln, err := net.Listen("tcp", address)
		if err != nil {
			return nil, fmt.Errorf("listen: %w", err)
		}
		all = append(all, ln)
	}
	return all, nil
}

// drain stops taking work, waits until all streams and calls have ended, and
// brings the last outcomes into the store.
func (n *Node) drain() {
	log := n.part("node")
	log.Info("draining")
	n.members.Stop()
	time.Sleep(n.cfg.Bounds.LameDuck)
	ctx, cancel := context.WithTimeout(context.Background(), n.cfg.Bounds.DrainTimeout)
	defer cancel()
	if err := n.caller.Shutdown(ctx); err != nil {
		log.Warningf("callers were cut: %v", err)
	}
	t := time.NewTicker(50 * time.Millisecond)
	defer t.Stop()
	for n.keeper.Running() > 0 && ctx.Err() == nil {
		<-t.C
	}
	n.once.Flush(ctx)
	log.Info("drained")
}

func (n *Node) sweep(ctx context.Context) error {
	loop.Every(ctx, sweepEvery, func(now time.Time) {
		n.calls.CloseIdle(now)
		n.directory.DeleteExpired(now)
		n.book.DeleteExpired(now)
	})
	return nil
}

// View returns the configuration in force, or nil.
func (n *Node) View() *document.View { return n.configure.View() }
