// Package node builds a router from its components and runs it.
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
	"wisteriafield/internal/backend/server"
	"wisteriafield/internal/base/loop"
	"wisteriafield/internal/caller/http1"
	"wisteriafield/internal/caller/openai"
	"wisteriafield/internal/caller/service"
	"wisteriafield/internal/config/document"
	"wisteriafield/internal/config/settings"
	"wisteriafield/internal/decision/answermemory"
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
	"wisteriafield/internal/router/quarantine"
	"wisteriafield/internal/router/stream"
	"wisteriafield/platform/kv"
)

const (
	sweepInterval = 5 * time.Second
	// contactTime is how long the news of a request that crashes servers takes to reach
	// all routers.
	contactTime = 3 * time.Second
	// acceptTime bounds how long a stop waits for a pause of callers who keep connecting.
	acceptTime = 3 * time.Second
	// answerMemoryBytes bounds the answers of services until they are written.
	answerMemoryBytes = 32 << 20
)

// Node is one router process.
type Node struct {
	cfg         settings.Settings
	log         *logrus.Logger
	incarnation string
	startedAt   time.Time

	store         *kv.Client
	hosts         *hosts.List
	members       *members.Members
	rpcClient     *control.Client
	rpcServer     *control.Server
	configure     *configure.Follower
	directory     *directory.Directory
	limits        *limits.Limiter
	quarantine    *quarantine.Guard
	planner       *planner.Planner
	janitor       *janitor.Janitor
	keeper        *keeper.Keeper
	entry         *entry.Entry
	peerWaits     *entry.WaitTable
	attempts      *claim.AttemptTable
	nonIdempotent *service.NonIdempotentRunner

	callerServer *http.Server
	callerConns  *http1.Conns
	peerServer   *http.Server
	adminServer  *http.Server
}

// New returns a router that does not listen yet.
func New(cfg settings.Settings, log *logrus.Logger) *Node {
	n := &Node{cfg: cfg, log: log, incarnation: uuid.NewString(), startedAt: time.Now()}
	n.buildPlatform()
	n.buildPeers()
	n.buildRoles()
	n.buildServers()
	return n
}

// logger returns the log of a component.
func (n *Node) logger(name string) *logrus.Entry { return n.log.WithField("part", name) }

// buildPlatform builds the clients of the platform: its store and its host list.
func (n *Node) buildPlatform() {
	p := n.cfg.Platform
	n.store = kv.New(kv.Config{Address: p.Address, Credential: p.Credential, Timeout: p.Timeout})
	n.hosts = hosts.New(hosts.Config{Address: p.Address, Credential: p.Credential})
}

// buildPeers builds what routers do together: membership, configuration, directory
// and limits.
func (n *Node) buildPeers() {
	h := n.cfg.Host
	self := hosts.Host{
		Name: h.Name, Kind: hosts.Router, State: hosts.Live, Environment: h.Environment, Domain: h.Domain, Region: h.Region,
		CallerAddress: h.CallerAddress, PeerAddress: h.PeerAddress, AdminAddress: h.AdminAddress,
	}
	n.members = members.New(self, n.hosts)
	n.rpcClient = control.NewClient(n.cfg.Credentials.Peer)
	n.rpcServer = control.NewServer()
	n.peerWaits = entry.NewWaitTable()
	n.quarantine = quarantine.New(contactTime, func() { n.configure.Trigger() }, n.logger("quarantine"))
	n.quarantine.CheckServers(quarantine.Checks{
		Listens: quarantine.Listens, Incarnation: quarantine.Incarnation,
		Leaves: func(s *server.Server) bool { return n.keeper.Leaves(s.ID) },
	})
	n.configure = configure.New(configure.Deps{
		Store: n.store, Peers: n.rpcClient, Members: n.members, Log: n.logger("configure"),
		ExpectedWaits:   func() map[string]time.Duration { return n.keeper.ExpectedWaits() },
		RecordPeerWaits: n.recordPeerWaits, Quarantine: n.quarantine,
	})
	n.configure.Register(n.rpcServer)
	n.directory = directory.New(n.members, n.rpcClient, n.rpcServer)
	n.limits = limits.New(n.members, n.rpcClient, n.rpcServer, n.configure.View)
}

// buildRoles builds the roles of this router: planner, janitor, keeper, entry and
// the runner of non-idempotent calls.
func (n *Node) buildRoles() {
	engines := engine.New(n.cfg.Credentials.Orders)
	n.planner = planner.New(planner.Deps{
		Store: n.store, Peers: n.rpcClient, Members: n.members, View: n.configure.View, Engines: engines, Log: n.logger("planner"),
	})
	n.planner.Register(n.rpcServer)
	n.janitor = janitor.New(janitor.Deps{Store: n.store, IsLeader: n.planner.IsLeader, Now: time.Now, Log: n.logger("janitor")})
	n.keeper = keeper.New(keeper.Deps{
		Members: n.members, Hosts: n.hosts, View: n.configure.View, Engines: engines, Log: n.logger("keeper"), Quarantine: n.quarantine,
		ModelVersion: n.planner.ModelVersion, Draining: n.planner.Draining,
		BetterKeeper: func(modelKey, except string) string { return n.peerWaits.BestKeeper(modelKey, except, time.Now()) },
	})
	n.entry = entry.New(entry.Deps{
		Members: n.members, Hosts: n.hosts, View: n.configure.View, ModelVersion: n.planner.ModelVersion, Draining: n.planner.Draining,
		LocalKeeper: n.keeper, RemoteKeepers: stream.NewClient(n.cfg.Credentials.Peer),
		Directory: n.directory, Waits: n.peerWaits, Quarantine: n.quarantine, Log: n.logger("entry"),
	})
	n.attempts = claim.NewAttemptTable()
	n.nonIdempotent = service.NewNonIdempotentRunner(service.NonIdempotentDeps{
		Store: n.store, Attempts: n.attempts, Router: n.cfg.Host.Name, Incarnation: n.incarnation, Log: n.logger("claims"),
		ConsentClient: service.NewConsentExchange(n.members, n.rpcClient, n.attempts, n.incarnation, n.rpcServer),
	})
}

// buildServers builds the HTTP servers for callers, peers and operators.
func (n *Node) buildServers() {
	b := n.cfg.Bounds
	callers := http.NewServeMux()
	bodies := openai.Bodies{MaxBytes: int64(b.MaxBody), Timeout: b.BodyTimeout, Memory: answermemory.New(int64(b.BodyMemory))}
	openai.New(openai.Deps{
		View: n.configure.View, Entry: n.entry, Limits: n.limits, ServedVersion: n.planner.ChooseVersion, Bodies: bodies,
	}).Register(callers)
	service.New(service.Deps{
		View: n.configure.View, Hosts: n.hosts, NonIdempotent: n.nonIdempotent, Quarantine: n.quarantine, Log: n.logger("service"),
		AnswerMemory: answermemory.New(answerMemoryBytes), Bodies: bodies,
	}).Register(callers)
	n.registerHealth(callers)
	callers.HandleFunc("/", notFound)
	n.callerServer = n.server(callers)
	n.callerConns = http1.New(b.HeaderTimeout, n.logger("callers"))
	n.callerConns.Limits = callerLimits(b)
	n.callerConns.Attach(n.callerServer)

	peers := http.NewServeMux()
	n.rpcServer.Register(peers)
	stream.NewServer(n.keeper, n.keeper, n.entry).Register(peers)
	n.peerServer = n.server(requireCredential(n.cfg.Credentials.Peer, peers))

	n.adminServer = n.server(n.adminHandler())
}

// server returns an HTTP server with the bounds of the settings.
func (n *Node) server(h http.Handler) *http.Server {
	return &http.Server{
		Handler:           h,
		ReadHeaderTimeout: n.cfg.Bounds.HeaderTimeout,
		MaxHeaderBytes:    n.cfg.Bounds.MaxHeader,
		IdleTimeout:       time.Minute,
		ErrorLog:          discardLog(),
	}
}

// recordPeerWaits records the expected waits that a peer sent.
func (n *Node) recordPeerWaits(name string, waits map[string]time.Duration) {
	now := time.Now()
	for modelKey, wait := range waits {
		n.peerWaits.Record(name, modelKey, wait, now)
	}
}

// Run listens and serves until ctx ends, then drains and stops the router.
func (n *Node) Run(ctx context.Context) error {
	limitMemory(n.cfg.Bounds)
	listeners, err := n.listen()
	if err != nil {
		return err
	}
	workCtx, stopWork := context.WithCancel(context.Background())
	defer stopWork()
	group, workCtx := errgroup.WithContext(workCtx)
	servers := []*http.Server{n.callerServer, n.peerServer, n.adminServer}
	for i, s := range servers {
		group.Go(func() error { return http1.Serve(s, listeners[i]) })
	}
	for _, run := range []func(context.Context) error{
		n.hosts.Run, n.configure.Watch, n.configure.Gossip, n.configure.RewriteLost, n.keeper.Run, n.entry.Run, n.limits.Run, n.planner.Lead, n.planner.Follow, n.janitor.Run, n.nonIdempotent.Run, n.sweep,
	} {
		group.Go(func() error { return run(workCtx) })
	}
	n.logger("node").WithField("name", n.cfg.Host.Name).Info("router is running")
	select {
	case <-ctx.Done():
		n.drain()
	case <-workCtx.Done():
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
	all[0] = n.callerConns.Listen(all[0])
	return all, nil
}

// drain reports the router as stopping, so that it gets no new work. After the lame duck
// time it waits, for at most the drain timeout, until the connections of callers, all
// streams and calls have ended and their outcomes are in the store.
func (n *Node) drain() {
	log := n.logger("node")
	log.Info("router is draining")
	n.members.Stop()
	lameDuckEnd := time.Now().Add(n.cfg.Bounds.LameDuck)
	end := lameDuckEnd.Add(n.cfg.Bounds.DrainTimeout)
	n.callerConns.Drain(http1.Schedule{LameDuckEnd: lameDuckEnd, AcceptEnd: lameDuckEnd.Add(acceptTime), End: end}, log)
	if left := n.callerConns.Count(); len(left) > 0 {
		log.WithField("reading", left[http1.Reading]).WithField("serving", left[http1.Serving]).
			Warning("callers still connected when draining ended")
		n.callerConns.LogUnanswered()
	}
	ctx, cancel := context.WithDeadline(context.Background(), end)
	defer cancel()
	ticker := time.NewTicker(50 * time.Millisecond)
	defer ticker.Stop()
	for n.keeper.Running() > 0 && ctx.Err() == nil {
		<-ticker.C
	}
	n.nonIdempotent.Flush(ctx)
	log.Info("router has drained")
}

// sweep deletes expired state and closes idle connections until ctx ends.
func (n *Node) sweep(ctx context.Context) error {
	loop.Every(ctx, sweepInterval, func(now time.Time) {
		n.rpcClient.CloseIdle(now)
		n.directory.DeleteExpired(now)
		n.attempts.DeleteExpired(now)
	})
	return nil
}

// View returns the configuration in effect, or nil.
func (n *Node) View() *document.View { return n.configure.View() }
