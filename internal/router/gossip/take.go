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
	g.mergeLoads(now)
	if m.Version > g.cfg.State.ConfigVersion() {
		g.pullConfig(m.Host)
	}
	// A reader hears it from the store itself.
	if own := g.cfg.State.ServerRevision(); m.Revision > own && (!g.cfg.State.Reading() || now.Sub(g.cfg.State.StoreReached()) > behindFor) {
		g.pullServers(m.Host)
	}
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

// mergeLoads adds up what the live peers have at each server.
func (g *Gossip) mergeLoads(now time.Time) {
	sums := make(map[string]registry.Share)
	g.mu.Lock()
	for _, p := range g.peers {
		if now.Sub(p.seenAt) >= freshFor {
			continue
		}
		for id, share := range p.loads {
			sums[id] = sums[id].Plus(share)
		}
	}
	g.mu.Unlock()
	for id, e := range g.cfg.Servers.All() {
		e.Load.SetPeers(sums[id])
	}
}

func (g *Gossip) pullConfig(from Host) {
	ctx, cancel := context.WithTimeout(context.Background(), 2*callTimeout)
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
	g.mu.Lock()
	busy := g.pulling
	g.pulling = true
	g.mu.Unlock()
	if busy {
		return
	}
	defer func() {
		g.mu.Lock()
		g.pulling = false
		g.mu.Unlock()
	}()
	ctx, cancel := context.WithTimeout(context.Background(), 2*callTimeout)
	defer cancel()
	var reply serversReply
	req := serversRequest{g.cfg.State.ServerRevision()}
	if err := g.cfg.Caller.Call(ctx, from.Address, methodServers, req, &reply); err != nil {
		g.cfg.Log.WithField("peer", from.Name).WithError(err).Info("server list not had from peer")
		return
	}
	g.cfg.State.TakeServerList(req.Revision, reply.Revision, reply.Values, reply.Whole, from.Name)
}
