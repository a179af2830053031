package edge

import (
	"context"
	"encoding/json"
	"time"

	"wisteriafield/internal/backend/server"
	"wisteriafield/internal/config/routes"
	"wisteriafield/internal/decision/storereader"
	"wisteriafield/internal/router/gossip"
	"wisteriafield/internal/router/sessions"
	"wisteriafield/platform/kv"
)

var _ gossip.State = (*Edge)(nil)

// SetConfig takes a configuration if it is newer than the one in force.
func (e *Edge) SetConfig(value []byte, source string) {
	log := e.part("config").WithField("source", source)
	cfg, err := e.cfg.DecodeConfig(value)
	if err != nil {
		log.WithError(err).Warn("configuration passed over")
		return
	}
	next := routes.NewTable(cfg)
	e.configMu.Lock()
	defer e.configMu.Unlock()
	if old := e.table.Load(); old != nil && old.Version >= cfg.Version {
		return
	}
	e.config.Store(&value)
	e.configAt.Store(time.Now().UnixNano())
	e.table.Store(next)
	log.WithField("version", cfg.Version).WithField("routes", len(cfg.Routes)).Info("configuration in force")
	e.gossip.Trigger()
}

// ConfigVersion returns the version in force, 0 without one.
func (e *Edge) ConfigVersion() int64 {
	if t := e.table.Load(); t != nil {
		return t.Version
	}
	return 0
}

// ConfigValue returns the configuration in force as the operator wrote it.
func (e *Edge) ConfigValue() []byte {
	if v := e.config.Load(); v != nil {
		return *v
	}
	return nil
}

// ServerList returns the changes of the server list after a revision.
func (e *Edge) ServerList(after int64) (int64, []kv.Value, bool) {
	return e.follower.ServerList(after)
}

// ServerRevision returns the store's revision of the server list.
func (e *Edge) ServerRevision() int64 { return e.follower.Revision() }

// ApplyServerList takes a peer's server list if it is newer.
func (e *Edge) ApplyServerList(after, revision int64, values []kv.Value, whole bool, source string) {
	e.follower.ApplyServerList(after, revision, values, whole, source)
}

// StoreReached returns when the store answered this router last.
func (e *Edge) StoreReached() time.Time { return e.follower.StoreReached() }

// ReadsStore reports whether this router reads the store.
func (e *Edge) ReadsStore() bool { return e.follower.ReadsStore() }

// reads reports whether it is this router's turn to read the store.
func (e *Edge) reads(lost bool) bool {
	now := time.Now()
	self := storereader.Router{Name: e.cfg.Host, ReadsStore: e.ReadsStore(), ReachedAt: e.StoreReached(), LinkRate: e.cfg.LinkMbps}
	return e.cfg.PeerAddress == "" || e.gossip.Lagging(now) || storereader.ShouldRead(self, e.gossip.StoreReaderCandidates(now), lost, now)
}

// PutSession tells where a generation runs.
func (e *Edge) PutSession(r sessions.Record) { e.gossip.PutSession(r) }

// FindSession looks up where a generation ran.
func (e *Edge) FindSession(ctx context.Context, session string) (sessions.Record, bool) {
	return e.gossip.FindSession(ctx, session)
}

// Stopping reports whether this router was told to stop.
func (e *Edge) Stopping() bool { return e.stopAt.Load() != 0 }

func (e *Edge) setServers(revision int64, servers []server.Server) {
	e.servers.Set(revision, servers)
	e.listed.Store(true)
}

// setHost makes a router known that is listed in the store.
func (e *Edge) setHost(value []byte) {
	var h gossip.Host
	if err := json.Unmarshal(value, &h); err != nil {
		e.part("store").WithError(err).Info("host entry passed over")
		return
	}
	e.gossip.Add(h)
}

// AddSeeds takes new addresses of peers to begin with.
func (e *Edge) AddSeeds(seeds []string) {
	for _, address := range seeds {
		e.gossip.Add(gossip.Host{Address: address})
	}
}
