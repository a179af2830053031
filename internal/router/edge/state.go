package edge

import (
	"context"
	"time"

	"wisteriafield/internal/backend/connpool"
	"wisteriafield/internal/backend/server"
	"wisteriafield/internal/config/routes"
	"wisteriafield/internal/decision/freshness"
	"wisteriafield/internal/decision/listing"
	"wisteriafield/internal/decision/storehistory"
	"wisteriafield/internal/decision/storereader"
	"wisteriafield/internal/router/discovery"
	"wisteriafield/internal/router/gossip"
	"wisteriafield/internal/router/sessions"
)

var _ gossip.State = (*Edge)(nil)

// SetConfig puts a configuration into effect if it is newer than the current one.
func (e *Edge) SetConfig(value []byte, source string) {
	log := e.logger("config").WithField("source", source)
	cfg, err := e.cfg.DecodeConfig(value)
	if err != nil {
		log.WithError(err).Warn("invalid configuration ignored")
		return
	}
	table := routes.NewTable(cfg)
	e.configMu.Lock()
	defer e.configMu.Unlock()
	if old := e.routeTable.Load(); old != nil && old.Version >= cfg.Version {
		return
	}
	e.configValue.Store(&value)
	e.configSince.Store(time.Now().UnixNano())
	e.routeTable.Store(table)
	log = log.WithField("version", cfg.Version).WithField("routes", len(cfg.Routes)).WithField("role", string(e.StoreRole())).
		WithField("storeAgeMs", sinceTime(e.StoreReached()).Milliseconds()).WithField("servers", e.ServerPosition().Revision)
	if a := e.gossip.Announced(); a.Version >= cfg.Version {
		log = log.WithField("behindMs", time.Since(a.BehindSince).Milliseconds()).WithField("announcedBy", a.Peer)
	}
	log.Info("configuration in effect")
	e.gossip.Trigger()
}

// joinCheckInterval is short beside the time in which a router joins the fleet.
const joinCheckInterval = 2 * time.Millisecond

// callersTable returns the routes of callers' requests, nil without a configuration. The
// requests of a router's first moments wait until it has joined the fleet.
func (e *Edge) callersTable() *routes.Table {
	for !e.joined() {
		time.Sleep(joinCheckInterval)
	}
	return e.routeTable.Load()
}

// joined reports whether this router may serve callers.
func (e *Edge) joined() bool { return e.cfg.PeerAddress == "" || e.gossip.Joined(time.Now()) }

// ConfigVersion returns the version of the configuration in effect, 0 if there is none.
func (e *Edge) ConfigVersion() int64 {
	if t := e.routeTable.Load(); t != nil {
		return t.Version
	}
	return 0
}

// ConfigValue returns the configuration in effect as the operator wrote it.
func (e *Edge) ConfigValue() []byte {
	if v := e.configValue.Load(); v != nil {
		return *v
	}
	return nil
}

// ServerList returns the changes of the server list after a position, or the full list.
func (e *Edge) ServerList(after storehistory.Position) discovery.ServerList {
	return e.follower.ServerList(after)
}

// ServerPosition returns the store's position of the server list.
func (e *Edge) ServerPosition() storehistory.Position { return e.follower.Position() }

// ApplyServerList applies a peer's changes or full server list if they are newer.
func (e *Edge) ApplyServerList(after storehistory.Position, list discovery.ServerList, source string) {
	e.follower.ApplyServerList(after, list, source)
}

// Freshness returns what this router has of the store.
func (e *Edge) Freshness() freshness.State {
	s := e.follower.State()
	s.Version = e.ConfigVersion() // read last: it is at least the one that s.ConfigAt and s.ConfirmedAt are of
	return s
}

// ObservePeer records what a peer has of the store.
func (e *Edge) ObservePeer(peer freshness.State) { e.follower.ObservePeer(peer, e.ConfigVersion()) }

// StoreEra returns the newest era that the store named to this router.
func (e *Edge) StoreEra() int64 { return e.cfg.Store.Era() }

// ObserveStoreEra records the store's era as a peer knows it.
func (e *Edge) ObserveStoreEra(era int64) { e.follower.ObserveEra(era) }

// StoreReached returns when the store last answered this router.
func (e *Edge) StoreReached() time.Time { return e.follower.StoreReached() }

// StoreRole returns the role of this router in reading the store.
func (e *Edge) StoreRole() storereader.Role { return e.follower.Role() }

// StoreFailing reports whether the store did not answer this router's last call.
func (e *Edge) StoreFailing() bool { return e.follower.Failing() }

// decideStoreRole returns the role that this router should have in reading the store.
func (e *Edge) decideStoreRole() storereader.Decision {
	now := time.Now()
	self := storereader.Router{
		Name: e.cfg.Host, ReadsStore: e.StoreRole() != storereader.Idle, Failing: e.StoreFailing(), ReachedAt: e.StoreReached(), LinkRate: e.cfg.LinkMbps,
	}
	d := e.elector.Decide(self, e.gossip.StoreReaderCandidates(now), now)
	switch {
	case d.Role != storereader.Idle:
	case e.gossip.Lagging(now):
		d.Role = storereader.Trial
	case e.elector.FirstTryDue():
		if e.follower.Overdue(now.Add(-freshness.FirstTryDelay(e.cfg.ChangeTime, e.firstTryPlace))) {
			d.Role, d.CheapFirst = storereader.Trial, true
		}
	case !e.elector.TakingTurns() && e.follower.Overdue(now):
		d.Role = storereader.Trial
	}
	return d
}

// listingTurn returns the delay after which this router lists itself again when the store
// was restored.
func (e *Edge) listingTurn() time.Duration {
	return listing.Turn(e.cfg.Host, e.peerNames(time.Now()))
}

// shouldList reports whether this router lists itself in the store.
func (e *Edge) shouldList() bool {
	return listing.ShouldList(e.cfg.Host, e.peerNames(time.Now()))
}

// PutSession records where a request's last attempt runs and where its backup is.
func (e *Edge) PutSession(r sessions.Record) { e.gossip.PutSession(r) }

// FindSession looks up where a request's last attempt ran.
func (e *Edge) FindSession(ctx context.Context, request string) (sessions.Record, bool) {
	return e.gossip.FindSession(ctx, request)
}

// Stopping reports whether this router was told to stop.
func (e *Edge) Stopping() bool { return e.stoppingAt.Load() != 0 }

func (e *Edge) setServers(at storehistory.Position, servers []server.Server) {
	e.servers.Set(at, servers)
	if e.cfg.Connections != nil {
		e.cfg.Connections.SetServers(servers, e.maxIdleConnections)
	}
	e.serversLoaded.Store(true)
}

// maxIdleConnections returns how many idle connections to one server of a service this router
// may keep.
func (e *Edge) maxIdleConnections(service string) int {
	routers, maxConnections := 1+len(e.gossip.LivePeers(time.Now())), 0
	if table := e.routeTable.Load(); table != nil {
		if s := table.Service(service); s != nil {
			maxConnections = s.MaxConnections
		}
	}
	return connpool.IdleShare(maxConnections, routers)
}

// addHost adds a router that is registered in the store as a peer.
func (e *Edge) addHost(value []byte) {
	h, err := gossip.DecodeHost(value)
	if err != nil {
		e.logger("store").WithError(err).Info("invalid host entry ignored")
		return
	}
	e.gossip.Add(h)
}

// peerNames returns the names of the live peers.
func (e *Edge) peerNames(now time.Time) []string {
	peers := e.gossip.LivePeers(now)
	names := make([]string, len(peers))
	for i, p := range peers {
		names[i] = p.Name
	}
	return names
}

// AddSeeds adds the addresses of peers to call.
func (e *Edge) AddSeeds(seeds []string) {
	for _, address := range seeds {
		e.gossip.Add(gossip.Host{Address: address})
	}
}
