package gossip

import (
	"math/rand/v2"
	"time"

	"wisteriafield/internal/backend/registry"
	"wisteriafield/internal/decision/dissemination"
	"wisteriafield/internal/decision/storehistory"
	"wisteriafield/internal/decision/storereader"
)

// buildMessage returns this router's state as a message with at most the given number of
// crashes and of limits. With listPeers, the message also lists up to maxListedPeers live
// peers, and older news that still matters.
func (g *Gossip) buildMessage(listPeers bool, news int) message {
	own := g.cfg.State.Freshness()
	position := own.List
	m := message{
		Host:         g.cfg.Self,
		Version:      own.Version,
		Revision:     position.Revision,
		Era:          position.Era,
		Stopping:     g.cfg.State.Stopping(),
		ReadsStore:   g.cfg.State.StoreRole() != storereader.Idle,
		StoreFailing: g.cfg.State.StoreFailing(),
		StoreAgeMs:   -1,
	}
	if era := g.cfg.State.StoreEra(); era > position.Era {
		m.StoreEra = era
	}
	now := time.Now()
	if at := g.cfg.State.StoreReached(); !at.IsZero() {
		m.StoreAgeMs = now.Sub(at).Milliseconds()
	}
	addFreshness(&m, own, now)
	m.Attempts = g.cfg.RetryBudget.OwnCounts(now)
	m.Informed = g.informed(now)
	report := g.cfg.Quarantine.Report(news, listPeers, now)
	m.Crashes, m.Survived = encodeCrashes(report, now)
	m.Blocked = report.Blocked
	m.Limits = encodeLimits(g.cfg.Limits.Report(news, listPeers, now), now)
	g.mu.Lock()
	defer g.mu.Unlock()
	plan := g.plan()
	paces := maxPaces
	if g.announces(now) {
		paces = 0 // a message to all peers stays short
	}
	m.Loads = g.ownLoads(plan.FullMesh, paces, now)
	g.addHeartbeats(&m, plan, now)
	if !listPeers {
		return m
	}
	live := g.livePeers(plan, now)
	rand.Shuffle(len(live), func(i, j int) { live[i], live[j] = live[j], live[i] })
	for _, p := range live[:min(maxListedPeers, len(live))] {
		m.Peers = append(m.Peers, p.host)
	}
	return m
}

// position returns the position of the sender's server list. A router of an earlier release
// names no era; it counts as being in this router's.
func (m message) position(ownEra int64) storehistory.Position {
	return inEra(m.Era, m.Revision, ownEra)
}

func inEra(era, revision, ownEra int64) storehistory.Position {
	if era == 0 {
		era = ownEra
	}
	return storehistory.Position{Era: era, Revision: revision}
}

// maxNews returns how much news a datagram may carry now.
func (g *Gossip) maxNews(now time.Time) int {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.announces(now) && !g.plan().FullMesh {
		return maxAnnouncedNews
	}
	return maxNews
}

// livePeers returns the peers that have a recent heartbeat and are not stopping. The
// caller holds mu.
func (g *Gossip) livePeers(plan dissemination.Plan, now time.Time) []*peer {
	var live []*peer
	for _, p := range g.peers {
		if p.host.Name != "" && !p.stopping && now.Sub(p.lastHeartbeatAt) < plan.PeerTimeout {
			live = append(live, p)
		}
	}
	return live
}

// ownLoads returns the loads for a message: this router's full share of each server's
// load, or, in a fleet where that would be outdated on arrival, only which servers are
// unresponsive and the paces of at most maxPaces.
func (g *Gossip) ownLoads(full bool, maxPaces int, now time.Time) map[string]registry.Share {
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
	if plan.RelayedHeartbeats == 0 || g.announces(now) {
		return
	}
	m.Heartbeats = make(map[string]int64, plan.RelayedHeartbeats)
	live := g.livePeers(plan, now)
	sentAt := make([]time.Time, len(live))
	for i, p := range live {
		sentAt[i] = p.lastHeartbeatAt
	}
	for _, i := range dissemination.SelectHeartbeats(sentAt, plan.RelayedHeartbeats) {
		m.Heartbeats[live[i].host.Name] = now.Sub(sentAt[i]).Milliseconds()
	}
}
