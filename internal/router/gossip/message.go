package gossip

import (
	"time"

	"wisteriafield/internal/backend/registry"
	"wisteriafield/internal/decision/dissemination"
)

// buildMessage returns this router's state as a message. With listPeers, the message
// also lists up to maxListedPeers live peers.
func (g *Gossip) buildMessage(listPeers bool) message {
	m := message{
		Host:       g.cfg.Self,
		Version:    g.cfg.State.ConfigVersion(),
		Revision:   g.cfg.State.ServerRevision(),
		Stopping:   g.cfg.State.Stopping(),
		ReadsStore: g.cfg.State.ReadsStore(),
		StoreAgeMs: -1,
	}
	now := time.Now()
	if at := g.cfg.State.StoreReached(); !at.IsZero() {
		m.StoreAgeMs = now.Sub(at).Milliseconds()
	}
	m.Attempts = g.cfg.RetryBudget.OwnCounts(now)
	g.mu.Lock()
	defer g.mu.Unlock()
	plan := g.plan()
	m.Loads = g.ownLoads(plan.FullMesh, now)
	g.addHeartbeats(&m, plan, now)
	if !listPeers {
		return m
	}
	for _, p := range g.peers {
		if p.host.Name != "" && now.Sub(p.lastHeartbeatAt) < plan.PeerTimeout && len(m.Peers) < maxListedPeers {
			m.Peers = append(m.Peers, p.host)
		}
	}
	return m
}

// ownLoads returns the loads for a message: this router's full share of each server's
// load, or, in a fleet where that would be outdated on arrival, only which servers are
// unresponsive and the paces of some.
func (g *Gossip) ownLoads(full bool, now time.Time) map[string]registry.Share {
	loads := make(map[string]registry.Share)
	sentPaces := 0
	for id, e := range g.cfg.Servers.All() {
		share := e.Load.OwnShare(now)
		if !full {
			share = registry.Share{DownMs: share.DownMs}
			if pace := e.Load.State(now).Pace; pace > 0 && sentPaces < maxPaces {
				share.PaceMs = int(pace / time.Millisecond)
				sentPaces++
			}
		}
		if share.NonZero() {
			loads[id] = share
		}
	}
	return loads
}

// addHeartbeats adds the heartbeats of peers that m relays. The caller holds mu.
func (g *Gossip) addHeartbeats(m *message, plan dissemination.Plan, now time.Time) {
	if plan.RelayedHeartbeats == 0 || m.ReadsStore {
		return // a store reader sends to all peers, so its messages stay short
	}
	m.Heartbeats = make(map[string]int64, plan.RelayedHeartbeats)
	for _, p := range g.peers {
		if len(m.Heartbeats) == plan.RelayedHeartbeats {
			return
		}
		if p.host.Name != "" && !p.stopping && now.Sub(p.lastHeartbeatAt) < plan.PeerTimeout {
			m.Heartbeats[p.host.Name] = now.Sub(p.lastHeartbeatAt).Milliseconds()
		}
	}
}
