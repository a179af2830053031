package gossip

import (
	"context"
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
	if m.Version > g.cfg.State.ConfigVersion() && g.pullingConfig.CompareAndSwap(false, true) {
		go func() {
			defer g.pullingConfig.Store(false)
			g.pullConfig(m.Host)
		}()
	}
	ahead := m.Revision > g.cfg.State.ServerRevision()
	g.noteAhead(ahead, now)
	// A reader hears it from the store itself.
	reads := g.cfg.State.Reading() && now.Sub(g.cfg.State.StoreReached()) <= behindFor
	if ahead && !reads && g.pullingServers.CompareAndSwap(false, true) {
		go func() {
			defer g.pullingServers.Store(false)
			g.pullServers(m.Host)
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

// Behind reports whether peers have had a newer server list for so long that this
// router should read the store itself.
func (g *Gossip) Behind(now time.Time) bool {
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
	appeared := now.Sub(p.seenAt) > freshFor
	old := p.loads
	p.host, p.seenAt, p.loads, p.stopping, p.reads = m.Host, now, m.Loads, m.Stopping, m.Reads
	p.reached = time.Time{}
	if m.AgeMs >= 0 {
		p.reached = now.Add(-time.Duration(m.AgeMs) * time.Millisecond)
	}
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
			g.cfg.NearbyDown(e)
		}
	}
}

// mergeLoads adds up what the live peers have at the servers named in some loads.
func (g *Gossip) mergeLoads(now time.Time, named ...map[string]registry.Share) {
	for _, loads := range named {
		for id := range loads {
			if e := g.cfg.Servers.Get(id); e != nil {
				e.Load.SetPeers(g.sum(id, now))
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
		if now.Sub(p.seenAt) < freshFor {
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
		if len(p.loads) > 0 && now.Sub(p.seenAt) >= freshFor {
			stale = append(stale, p.loads)
			p.loads = nil
		}
	}
	g.mu.Unlock()
	g.mergeLoads(now, stale...)
}

func (g *Gossip) pullConfig(from Host) {
	ctx, cancel := context.WithTimeout(context.Background(), pullTimeout)
	defer cancel()
	var reply configReply
	if err := g.cfg.Caller.Call(ctx, from.Address, methodConfig, struct{}{}, &reply); err != nil {
		g.cfg.Log.WithField("peer", from.Name).WithError(err).Info("configuration not had from peer")
		return
	}
	if len(reply.Value) > 0 {
		g.cfg.State.SetConfig(reply.Value, from.Name)
	}
}

func (g *Gossip) pullServers(from Host) {
	ctx, cancel := context.WithTimeout(context.Background(), pullTimeout)
	defer cancel()
	var reply serversReply
	req := serversRequest{g.cfg.State.ServerRevision()}
	if err := g.cfg.Caller.Call(ctx, from.Address, methodServers, req, &reply); err != nil {
		g.cfg.Log.WithField("peer", from.Name).WithError(err).Info("server list not had from peer")
		return
	}
	g.cfg.State.TakeServerList(req.Revision, reply.Revision, reply.Values, reply.Whole, from.Name)
}
