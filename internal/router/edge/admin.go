package edge

import (
	"encoding/json"
	"net/http"
	"sort"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"wisteriafield/internal/backend/registry"
	"wisteriafield/internal/decision/storereader"
	"wisteriafield/internal/router/gossip"
)

// Dump is the state of a router as GET /dump returns it. It holds no prompts and no
// keys.
type Dump struct {
	Host           string
	Stopping       bool
	Active         int64 // requests in progress
	ConfigVersion  int64
	ConfigSince    time.Time // when the configuration took effect
	ConfigNewest   int64     // newest version that this router or a peer has
	ServerRevision int64
	ServerEra      int64     // of the store, for ServerRevision
	Reading        bool      // this router reads the store
	StoreReached   time.Time // when the store last answered this router
	StoreConfirmed time.Time // as of when what this router has of the store is known to be the newest
	Peers          []gossip.Host
	Servers        []ServerDump
	Limits         []ServerLimit // that backend servers named
	BlockedParts   []BlockedPart // what crashes servers: parts of prompts and digests of requests
}

// ServerLimit is the limit that a backend server named.
type ServerLimit struct {
	Server    string
	PerSecond float64 // requests from all routers together
	At        time.Time
}

// BlockedPart is a part of prompts, or the digest of a request, that is not sent to servers.
type BlockedPart struct {
	Part    string
	Until   time.Time
	Crashes int // servers that it crashed
}

// ServerDump is the state of one backend server as this router knows it.
type ServerDump struct {
	ID      string
	Service string
	Address string
	Domain  string
	Leaving bool
	State   registry.State
	// The speed of an engine, as far as this router has learned it from its own attempts.
	TokenTimeMs        float64 `json:",omitempty"`
	PrefillTokensPerMs float64 `json:",omitempty"`
}

// Dump returns the state of this router.
func (e *Edge) Dump() Dump {
	now := time.Now()
	position := e.ServerPosition()
	d := Dump{
		Host: e.cfg.Host, Stopping: e.Stopping(), Active: e.activeRequests.Load(),
		ConfigVersion: e.ConfigVersion(), ConfigNewest: e.newestConfig(), ServerRevision: position.Revision, ServerEra: position.Era,
		Reading: e.StoreRole() != storereader.Idle, StoreReached: e.StoreReached(), StoreConfirmed: e.Freshness().ConfirmedAt, Peers: e.gossip.LivePeers(now),
	}
	if at := e.configSince.Load(); at != 0 {
		d.ConfigSince = time.Unix(0, at)
	}
	for _, s := range e.servers.All() {
		speed := s.Load.Speed()
		d.Servers = append(d.Servers, ServerDump{
			ID: s.ID, Service: s.Service, Address: s.Address, Domain: s.Domain, Leaving: s.Leaving || e.limits.Leaving(&s.Server), State: s.Load.State(now),
			TokenTimeMs: speed.TokenTime.Seconds() * 1000, PrefillTokensPerMs: speed.PrefillTokensPerMs,
		})
	}
	for _, l := range e.limits.Limits(now) {
		d.Limits = append(d.Limits, ServerLimit{l.Server, l.PerSecond, l.At})
	}
	for _, b := range e.quarantine.Blocks(now) {
		d.BlockedParts = append(d.BlockedParts, BlockedPart{Part: b.Suspect, Until: b.Until, Crashes: b.Crashes})
	}
	sort.Slice(d.Servers, func(i, j int) bool { return d.Servers[i].ID < d.Servers[j].ID })
	sort.Slice(d.Peers, func(i, j int) bool { return d.Peers[i].Name < d.Peers[j].Name })
	return d
}

// adminHandler serves the operators' metrics and the dump.
func (e *Edge) adminHandler() http.Handler {
	set := metrics.NewSet()
	set.NewGauge("wisteriafield_config_version", func() float64 { return float64(e.ConfigVersion()) })
	set.NewGauge("wisteriafield_config_age_seconds", func() float64 { return secondsSince(time.Unix(0, e.configSince.Load())) })
	set.NewGauge("wisteriafield_config_newest_version", func() float64 { return float64(e.newestConfig()) })
	set.NewGauge("wisteriafield_config_behind_seconds", func() float64 { return e.configBehind().Seconds() })
	set.NewGauge("wisteriafield_store_confirmed_age_seconds", func() float64 { return secondsSince(e.Freshness().ConfirmedAt) })
	set.NewGauge("wisteriafield_store_age_seconds", func() float64 { return secondsSince(e.StoreReached()) })
	set.NewGauge("wisteriafield_store_era", func() float64 { return float64(e.follower.Era()) })
	set.NewGauge("wisteriafield_store_reading", func() float64 { return boolToFloat(e.StoreRole() != storereader.Idle) })
	set.NewGauge("wisteriafield_servers_known", func() float64 { return float64(len(e.servers.All())) })
	set.NewGauge("wisteriafield_peers_live", func() float64 { return float64(len(e.gossip.LivePeers(time.Now()))) })
	set.NewGauge("wisteriafield_requests_active", func() float64 { return float64(e.activeRequests.Load()) })
	set.NewGauge("wisteriafield_prompt_parts_blocked", func() float64 { return float64(len(e.quarantine.Blocks(time.Now()))) })
	set.NewGauge("wisteriafield_servers_limited", func() float64 { return float64(len(e.limits.Limits(time.Now()))) })
	mux := http.NewServeMux()
	mux.HandleFunc("GET /metrics", func(w http.ResponseWriter, _ *http.Request) {
		set.WritePrometheus(w)
		metrics.WritePrometheus(w, true)
	})
	mux.HandleFunc("GET /dump", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		if err := json.NewEncoder(w).Encode(e.Dump()); err != nil {
			e.logger("node").WithError(err).Info("cannot send dump")
		}
	})
	return mux
}

// newestConfig returns the newest version of the configuration that this router or a peer has.
func (e *Edge) newestConfig() int64 { return max(e.ConfigVersion(), e.gossip.Announced().Version) }

// configBehind returns how long this router has known of a newer configuration than its own, 0
// if it knows of none.
func (e *Edge) configBehind() time.Duration {
	a := e.gossip.Announced()
	if a.Version <= e.ConfigVersion() {
		return 0
	}
	return time.Since(a.BehindSince)
}

// secondsSince returns the seconds since a time, or -1 if the time is not set.
func secondsSince(at time.Time) float64 {
	if at.IsZero() || at.Unix() == 0 {
		return -1
	}
	return time.Since(at).Seconds()
}

func boolToFloat(b bool) float64 {
	if b {
		return 1
	}
	return 0
}
