package gossip

import (
	"time"

	"wisteriafield/internal/backend/registry"
	"wisteriafield/internal/decision/dissemination"
)

// message returns what this router tells, with some of its peers if they are to be
// listed.
func (g *Gossip) message(list bool) message {
	m := message{
		Host:     g.cfg.Self,
		Version:  g.cfg.State.ConfigVersion(),
		Revision: g.cfg.State.ServerRevision(),
		Stopping: g.cfg.State.Stopping(),
		Reads:    g.cfg.State.ReadsStore(),
		AgeMs:    -1,
	}
	now := time.Now()
	if at := g.cfg.State.StoreReached(); !at.IsZero() {
		m.AgeMs = now.Sub(at).Milliseconds()
	}
	m.Sends = g.cfg.RetryBudget.OwnCounts(now)
	g.mu.Lock()
	defer g.mu.Unlock()
	plan := g.plan()
	m.Loads = g.loads(plan.FullMesh, now)
	g.vouch(&m, plan, now)
	if !list {
		return m
	}
	for _, p := range g.peers {
		if p.host.Name != "" && now.Sub(p.seenAt) < plan.PeerTimeout && len(m.Peers) < listed {
			m.Peers = append(m.Peers, p.host)
		}
	}
	return m
}

// loads returns what to tell of engines: this router's whole work, or, in a fleet
// where that would be old when it is heard, which ones are silent and the paces of
// some.
func (g *Gossip) loads(whole bool, now time.Time) map[string]registry.Share {
	loads := make(map[string]registry.Share)
	told := 0
	for id, e := range g.cfg.Servers.All() {
		share := e.Load.OwnShare(now)
		if !whole {
			share = registry.Share{DownMs: share.DownMs}
			if pace := e.Load.State(now).Pace; pace > 0 && told < paces {
				share.PaceMs = int(pace / time.Millisecond)
				told++
			}
		}
		if share.NonZero() {
			loads[id] = share
		}
	}
	return loads
}

// vouch passes signs of life of peers on. The caller holds mu.
func (g *Gossip) vouch(m *message, plan dissemination.Plan, now time.Time) {
	if plan.RelayedHeartbeats == 0 || m.Reads {
		return // a reader's messages are many and stay short
	}
	m.Signs = make(map[string]int64, plan.RelayedHeartbeats)
	for _, p := range g.peers {
		if len(m.Signs) == plan.RelayedHeartbeats {
			return
		}
		if p.host.Name != "" && !p.stopping && now.Sub(p.seenAt) < plan.PeerTimeout {
			m.Signs[p.host.Name] = now.Sub(p.seenAt).Milliseconds()
		}
	}
}
