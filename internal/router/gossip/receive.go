package gossip

import (
	"time"

	"wisteriafield/internal/backend/registry"
)

// take uses what a peer told.
func (g *Gossip) take(m message) {
	now := time.Now()
	g.Add(m.Host)
	for _, h := range m.Peers {
		g.Add(h)
	}
	g.note(m, now)
	g.cfg.RetryBudget.MergePeerCounts(m.Sends, now)
	if m.Version > g.cfg.State.ConfigVersion() && g.pullingConfig.CompareAndSwap(false, true) {
		go func() {
			defer g.pullingConfig.Store(false)
			g.pull(m, g.pullConfig)
		}()
	}
	ahead := m.Revision > g.cfg.State.ServerRevision()
	g.noteAhead(ahead, now)
	// A reader hears it from the store itself.
	reads := g.cfg.State.ReadsStore() && now.Sub(g.cfg.State.StoreReached()) <= behindFor
	if ahead && !reads && g.pullingServers.CompareAndSwap(false, true) {
		go func() {
			defer g.pullingServers.Store(false)
			g.pull(m, g.pullServers)
		}()
	}
}

// noteAhead keeps since when some peer has a newer server list.
func (g *Gossip) noteAhead(ahead bool, now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	revision := g.cfg.State.ServerRevision()
	if revision != g.knownRevision {
		g.knownRevision, g.behindAt = revision, time.Time{}
	}
	if ahead && g.behindAt.IsZero() {
		g.behindAt = now
	}
}

// Lagging reports whether peers have had a newer server list for so long that this
// router should read the store itself.
func (g *Gossip) Lagging(now time.Time) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return !g.behindAt.IsZero() && now.Sub(g.behindAt) > behindFor && g.cfg.State.ServerRevision() == g.knownRevision
}

func (g *Gossip) note(m message, now time.Time) {
	g.mu.Lock()
	p := g.peers[m.Host.Address]
	if p == nil {
		g.mu.Unlock()
		return
	}
	appeared := now.Sub(p.seenAt) > g.plan().PeerTimeout
	old := p.loads
	p.host, p.seenAt, p.toldAt, p.loads, p.stopping, p.reads = m.Host, now, now, m.Loads, m.Stopping, m.Reads
	p.version, p.revision = m.Version, m.Revision
	p.reached = time.Time{}
	if m.AgeMs >= 0 {
		p.reached = now.Add(-time.Duration(m.AgeMs) * time.Millisecond)
	}
	g.hearsay(m, now)
	g.mu.Unlock()
	g.mergeLoads(now, m.Loads, old)
	if appeared {
		g.cfg.Log.WithField("peer", m.Host.Name).WithField("address", m.Host.Address).Info("peer found")
	}
	for id, share := range m.Loads {
		if share.DownMs == 0 || old[id].DownMs > 0 {
			continue
		}
		if e := g.cfg.Servers.Get(id); e != nil && !e.Load.State(now).Down {
			e.Load.MarkDown(now.Add(time.Duration(share.DownMs) * time.Millisecond))
			g.cfg.EngineUnresponsive(e)
		}
	}
}

// hearsay takes the signs of life of other peers that a message passes on. The
// caller holds mu.
func (g *Gossip) hearsay(m message, now time.Time) {
	if len(m.Signs) == 0 {
		return
	}
	for _, p := range g.peers {
		if ms, ok := m.Signs[p.host.Name]; ok {
			p.seenAt = later(p.seenAt, now.Add(-time.Duration(ms)*time.Millisecond))
		}
	}
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// mergeLoads adds up what the live peers have at the servers named in some loads.
func (g *Gossip) mergeLoads(now time.Time, named ...map[string]registry.Share) {
	for _, loads := range named {
		for id := range loads {
			if e := g.cfg.Servers.Get(id); e != nil {
				e.Load.SetPeerShare(g.sum(id, now))
			}
		}
	}
}

// sum returns what the live peers have at a server.
func (g *Gossip) sum(id string, now time.Time) registry.Share {
	g.mu.Lock()
	defer g.mu.Unlock()
	var sum registry.Share
	for _, p := range g.peers {
		if now.Sub(p.toldAt) < loadsFor {
			sum = sum.Plus(p.loads[id])
		}
	}
	return sum
}

// dropStale takes out the loads of peers that fell silent.
func (g *Gossip) dropStale(now time.Time) {
	g.mu.Lock()
	var stale []map[string]registry.Share
	for _, p := range g.peers {
		if len(p.loads) > 0 && now.Sub(p.toldAt) >= loadsFor {
			stale = append(stale, p.loads)
			p.loads = nil
		}
	}
	g.mu.Unlock()
	g.mergeLoads(now, stale...)
}
