// Package edge is a router on the users' platform: it follows the platform's
// store, answers callers and forwards to backend servers.
package edge

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"
	"golang.org/x/sync/errgroup"

	"wisteriafield/internal/backend/registry"
	"wisteriafield/internal/backend/server"
	"wisteriafield/internal/caller/front"
	"wisteriafield/internal/config/routes"
	"wisteriafield/internal/decision/repeats"
	"wisteriafield/internal/router/discovery"
	"wisteriafield/internal/router/forward"
	"wisteriafield/internal/router/relay"
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

// Config is what a router needs.
type Config struct {
	Host          string
	Domain        string
	CallerAddress string
	ReadyAddress  string
	Grace         time.Duration // from the stop signal to the kill
	Repeats       repeats.Config

	Store         discovery.Store
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
	table    atomic.Pointer[routes.Table]
	listed   atomic.Bool // the server list was read once
	stopAt   atomic.Int64
	active   atomic.Int64 // requests that are being answered
	follower *discovery.Follower
	callers  *http.Server
	ready    *http.Server
}

// New returns a router that does not run yet.
func New(cfg Config) *Edge {
	e := &Edge{cfg: cfg, log: cfg.Log, servers: registry.New()}
	e.follower = discovery.New(discovery.Config{
		Store: cfg.Store, ConfigKey: cfg.ConfigKey, ServersPrefix: cfg.ServersPrefix,
		DecodeServer: cfg.DecodeServer, SetConfig: e.setConfig, SetServers: e.setServers, Log: e.part("store"),
	})
	budget := repeats.New(cfg.Repeats)
	handler := front.New(front.Config{
		Protocol:    cfg.Protocol,
		Table:       e.table.Load,
		Streams:     relay.New(relay.Config{Servers: e.servers, Client: cfg.Client, Repeats: budget, Log: e.part("stream")}),
		Plain:       forward.New(forward.Config{Servers: e.servers, Client: cfg.Client, Repeats: budget, Log: e.part("plain")}),
		Repeats:     budget,
		TakesStream: e.takesStream,
		Stopping:    e.stopping,
		Log:         e.part("front"),
	})
	e.callers = e.server(e.counted(handler))
	mux := http.NewServeMux()
	mux.HandleFunc(cfg.ReadyPath, e.answerReady)
	e.ready = e.server(mux)
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

// setConfig takes a configuration if it is newer than the one in force.
func (e *Edge) setConfig(value []byte, source string) {
	cfg, err := e.cfg.DecodeConfig(value)
	if err != nil {
		e.part("config").WithField("source", source).WithError(err).Warn("configuration passed over")
		return
	}
	next := routes.NewTable(cfg)
	for {
		old := e.table.Load()
		if old != nil && old.Version >= cfg.Version {
			return
		}
		if e.table.CompareAndSwap(old, next) {
			break
		}
	}
	e.part("config").WithField("source", source).WithField("version", cfg.Version).
		WithField("routes", len(cfg.Routes)).Info("configuration in force")
}

func (e *Edge) setServers(servers []server.Server) {
	e.servers.Set(servers)
	e.listed.Store(true)
}

// Run serves until ctx ends, then drains and stops.
func (e *Edge) Run(ctx context.Context) error {
	callers, err := net.Listen("tcp", e.cfg.CallerAddress)
	if err != nil {
		return fmt.Errorf("listen for callers: %w", err)
	}
	ready, err := net.Listen("tcp", e.cfg.ReadyAddress)
	if err != nil {
		return fmt.Errorf("listen for readiness: %w", err)
	}
	work, stop := context.WithCancel(context.Background())
	defer stop()
	group, work := errgroup.WithContext(work)
	group.Go(func() error { return serve(e.callers, callers) })
	group.Go(func() error { return serve(e.ready, ready) })
	group.Go(func() error { return e.follower.Run(work) })
	e.part("node").WithField("host", e.cfg.Host).Info("started")
	select {
	case <-ctx.Done():
		e.drain(time.Now())
	case <-work.Done():
	}
	stop()
	_ = e.callers.Close()
	_ = e.ready.Close()
	err = group.Wait()
	e.part("node").WithError(err).Info("stopped")
	return err
}

func serve(s *http.Server, ln net.Listener) error {
	if err := s.Serve(ln); err != http.ErrServerClosed {
		return fmt.Errorf("serve %s: %w", ln.Addr(), err)
	}
	return nil
}
