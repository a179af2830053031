package gossip

import (
	"time"

	"wisteriafield/internal/backend/registry"
	"wisteriafield/internal/decision/storereader"
)

// handle merges a peer's message into this router's state, and pulls a newer
// configuration or server list.
func (g *Gossip) handle(m message) {
	now := time.Now()
	arrived := g.arrivals.Earliest(now)
	g.Add(m.Host)
	for _, h := range m.Peers {
		g.Add(h)
	}
	g.updatePeer(m, now)
	g.recordUninformed(m, now)
	g.cfg.RetryBudget.MergePeerCounts(m.Attempts, now)
	if len(m.Crashes)+len(m.Survived)+len(m.Blocked) > 0 && g.cfg.Quarantine.Merge(decodeCrashes(m, now), m.Host.Name, now) {
		g.Trigger()
	}
	if len(m.Limits) > 0 {
		g.cfg.Limits.Merge(decodeLimits(m.Limits, now), m.Host.Name, now)
	}
	g.recordAnnouncement(m, now)
	if m.Version > g.cfg.State.ConfigVersion() && g.pullingConfig.CompareAndSwap(false, true) {
		go func() {
			defer g.pullingConfig.Store(false)
			g.pull(m, func() bool { return g.cfg.State.ConfigVersion() >= m.Version }, g.pullConfig)
			g.observeFreshness(m, arrived)
		}()
	}
	g.observeFreshness(m, arrived)
	g.cfg.State.ObserveStoreEra(max(m.Era, m.StoreEra))
	own := g.cfg.State.ServerPosition()
	ahead := own.Before(m.position(own.Era))
	g.trackLag(ahead, now)
	// The primary reader gets the changes from the store itself.
	readsReachableStore := g.cfg.State.StoreRole() == storereader.Primary && now.Sub(g.cfg.State.StoreReached()) <= lagTimeout
	if ahead && !readsReachableStore && g.pullingServerList.CompareAndSwap(false, true) {
		go func() {
			defer g.pullingServerList.Store(false)
			g.pull(m, func() bool { return !g.cfg.State.ServerPosition().Before(m.position(own.Era)) }, g.pullServerList)
			g.observeFreshness(m, arrived)
		}()
	}
}

// observeFreshness records how far the sender of a message that arrived at a time knows the
// store.
func (g *Gossip) observeFreshness(m message, at time.Time) {
	if peer, known := m.freshness(at); known {
		g.cfg.State.ObservePeer(peer)
	}
}

// trackLag records since when some peer has had a newer server list. It starts anew
// when this router's list changes.
func (g *Gossip) trackLag(ahead bool, now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	position := g.cfg.State.ServerPosition()
	if position != g.trackedPosition {
		g.trackedPosition, g.laggingSince = position, time.Time{}
	}
	if ahead && g.laggingSince.IsZero() {
		g.laggingSince = now
	}
}

// Lagging reports whether a peer has had a newer server list for so long that this
// router should read the store itself.
func (g *Gossip) Lagging(now time.Time) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return !g.laggingSince.IsZero() && now.Sub(g.laggingSince) > lagTimeout && g.cfg.State.ServerPosition() == g.trackedPosition
}

// updatePeer records the sender's state and merges its loads and the heartbeats that
// it relays.
func (g *Gossip) updatePeer(m message, now time.Time) {
	ownEra := g.cfg.State.ServerPosition().Era
	g.mu.Lock()
	p := g.peers[m.Host.Address]
	if p == nil { // the host has no address, or this router's own
		g.mu.Unlock()
		return
	}
	appeared := now.Sub(p.lastHeartbeatAt) > g.plan().PeerTimeout
	oldLoads := p.loads
	p.host, p.lastHeartbeatAt, p.lastMessageAt, p.loads, p.stopping, p.readsStore = m.Host, now, now, m.Loads, m.Stopping, m.ReadsStore
	p.attempts = m.Attempts
	p.version, p.position, p.storeFailing = m.Version, m.position(ownEra), m.StoreFailing
	p.storeReachedAt = time.Time{}
	if m.StoreAgeMs >= 0 {
		p.storeReachedAt = now.Add(-millis(m.StoreAgeMs))
	}
	g.mergeHeartbeats(m, now)
	g.mu.Unlock()
	g.mergeLoads(now, m.Loads, oldLoads)
	if appeared {
		g.cfg.Log.WithField("peer", m.Host.Name).WithField("address", m.Host.Address).Info("peer is live")
	}
	// Engines that the sender's previous message did not report as unresponsive.
	for id, share := range m.Loads {
		if share.DownMs <= 0 || oldLoads[id].DownMs > 0 {
			continue
		}
		if e := g.cfg.Servers.Get(id); e != nil && !e.Load.State(now).Down {
			e.Load.MarkDown(now.Add(min(millis(share.DownMs), maxDownTime)))
			g.cfg.EngineUnresponsive(e)
		}
	}
}

// mergeHeartbeats merges the heartbeats of other peers that a message relays. The
// caller holds mu.
func (g *Gossip) mergeHeartbeats(m message, now time.Time) {
	if len(m.Heartbeats) == 0 {
		return
	}
	for _, p := range g.peers {
		if ms, ok := m.Heartbeats[p.host.Name]; ok && ms >= 0 {
			p.lastHeartbeatAt = later(p.lastHeartbeatAt, now.Add(-millis(ms)))
		}
	}
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// mergeLoads updates the peers' total load at each server that the given maps name.
func (g *Gossip) mergeLoads(now time.Time, named ...map[string]registry.Share) {
	for _, loads := range named {
		for id := range loads {
			if e := g.cfg.Servers.Get(id); e != nil {
				e.Load.SetPeerShare(g.sumLoads(id, now))
			}
		}
	}
}

// sumLoads returns the peers' total load at a server, as of messages younger than
// loadTTL.
func (g *Gossip) sumLoads(id string, now time.Time) registry.Share {
	g.mu.Lock()
	defer g.mu.Unlock()
	var sum registry.Share
	for _, p := range g.peers {
		if now.Sub(p.lastMessageAt) < loadTTL {
			sum = sum.Plus(p.loads[id])
		}
	}
	return sum
}

// dropStaleLoads removes the loads of peers whose last message is older than loadTTL.
func (g *Gossip) dropStaleLoads(now time.Time) {
	g.mu.Lock()
	var stale []map[string]registry.Share
	for _, p := range g.peers {
		if len(p.loads) > 0 && now.Sub(p.lastMessageAt) >= loadTTL {
			stale = append(stale, p.loads)
			p.loads = nil
		}
	}
	g.mu.Unlock()
	g.mergeLoads(now, stale...)
}
