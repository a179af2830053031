package gossip

import (
	"time"

	"wisteriafield/internal/backend/registry"
)

// message returns what this router tells.
func (g *Gossip) message() message {
	m := message{
		Host:     g.cfg.Self,
		Version:  g.cfg.State.ConfigVersion(),
		Revision: g.cfg.State.ServerRevision(),
		Stopping: g.cfg.State.Stopping(),
		Reads:    g.cfg.State.Reading(),
		AgeMs:    -1,
		Loads:    make(map[string]registry.Share),
	}
	now := time.Now()
	if at := g.cfg.State.StoreReached(); !at.IsZero() {
		m.AgeMs = now.Sub(at).Milliseconds()
	}
	for id, e := range g.cfg.Servers.All() {
		if share := e.Load.Own(now); share.Notable() {
			m.Loads[id] = share
		}
	}
	if g.messages.Add(1)%listEvery != 1 {
		return m
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, p := range g.peers {
		if p.host.Name != "" && now.Sub(p.seenAt) < freshFor && len(m.Peers) < listed {
			m.Peers = append(m.Peers, p.host)
		}
	}
	return m
}
