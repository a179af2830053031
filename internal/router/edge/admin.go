package edge

import (
	"encoding/json"
	"net/http"
	"sort"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"wisteriafield/internal/backend/registry"
	"wisteriafield/internal/router/gossip"
)

// Dump is what a router believes, on request. It holds no prompt and no key.
type Dump struct {
	Host           string
	Stopping       bool
	Active         int64 // requests that are being answered
	ConfigVersion  int64
	ConfigSince    time.Time // when it came into force
	ServerRevision int64
	Reading        bool      // this router reads the store
	StoreReached   time.Time // when the store answered this router last
	Peers          []gossip.Host
	Servers        []ServerDump
}

// ServerDump is what is believed of one backend server.
type ServerDump struct {
	ID      string
	Service string
	Address string
	Domain  string
	Leaving bool
	State   registry.State
}

// Dump returns the state.
func (e *Edge) Dump() Dump {
	now := time.Now()
	d := Dump{
		Host: e.cfg.Host, Stopping: e.Stopping(), Active: e.active.Load(),
		ConfigVersion: e.ConfigVersion(), ServerRevision: e.ServerRevision(),
		Reading: e.ReadsStore(), StoreReached: e.StoreReached(), Peers: e.gossip.LivePeers(now),
	}
	if at := e.configAt.Load(); at != 0 {
		d.ConfigSince = time.Unix(0, at)
	}
	for _, s := range e.servers.All() {
		d.Servers = append(d.Servers, ServerDump{
			ID: s.ID, Service: s.Service, Address: s.Address, Domain: s.Domain, Leaving: s.Leaving, State: s.Load.State(now),
		})
	}
	sort.Slice(d.Servers, func(i, j int) bool { return d.Servers[i].ID < d.Servers[j].ID })
	sort.Slice(d.Peers, func(i, j int) bool { return d.Peers[i].Name < d.Peers[j].Name })
	return d
}

// admin answers the operators: metrics, and the state on request.
func (e *Edge) admin() http.Handler {
	set := metrics.NewSet()
	set.NewGauge("wisteriafield_config_version", func() float64 { return float64(e.ConfigVersion()) })
	set.NewGauge("wisteriafield_config_age_seconds", func() float64 { return secondsSince(time.Unix(0, e.configAt.Load())) })
	set.NewGauge("wisteriafield_store_age_seconds", func() float64 { return secondsSince(e.StoreReached()) })
	set.NewGauge("wisteriafield_store_reading", func() float64 { return oneIf(e.ReadsStore()) })
	set.NewGauge("wisteriafield_servers_known", func() float64 { return float64(len(e.servers.All())) })
	set.NewGauge("wisteriafield_peers_live", func() float64 { return float64(len(e.gossip.LivePeers(time.Now()))) })
	set.NewGauge("wisteriafield_requests_active", func() float64 { return float64(e.active.Load()) })
	mux := http.NewServeMux()
	mux.HandleFunc("GET /metrics", func(w http.ResponseWriter, _ *http.Request) {
		set.WritePrometheus(w)
		metrics.WritePrometheus(w, true)
	})
	mux.HandleFunc("GET /dump", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		if err := json.NewEncoder(w).Encode(e.Dump()); err != nil {
			e.part("node").WithError(err).Info("dump not sent")
		}
	})
	return mux
}

// secondsSince returns the age of a moment, or -1 if there was none.
func secondsSince(at time.Time) float64 {
	if at.IsZero() || at.Unix() == 0 {
		return -1
	}
	return time.Since(at).Seconds()
}

func oneIf(b bool) float64 {
	if b {
		return 1
	}
	return 0
}
