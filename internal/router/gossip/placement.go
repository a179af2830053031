package gossip

import (
	"slices"
	"time"
)

// SendPlacement sends a placement message, which is JSON, to the datagram address of a peer. It is
// encoded without the fields that other messages always have: there are several for each attempt.
func (g *Gossip) SendPlacement(address string, message []byte) error {
	return g.cfg.Datagrams.Send(address, slices.Concat([]byte(`{"Pl":`), message, []byte(`}`)))
}

// LargeFleet reports whether the fleet is too large for its routers to send each other their loads.
func (g *Gossip) LargeFleet() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return !g.plan().FullMesh
}

// KnowsLoads reports whether this router knows the loads of all peers, at most one
// exchange old. It does not in a large fleet, nor while it discovers its peers after
// its start, nor while a peer is silent that may only be cut off from this router.
func (g *Gossip) KnowsLoads(now time.Time) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if now.Sub(g.started) <= loadTTL || !g.plan().FullMesh {
		return false
	}
	for _, p := range g.peers {
		silence := now.Sub(p.lastMessageAt)
		if p.host.Name != "" && !p.stopping && silence > loadTTL && silence < peerTTL {
			return false
		}
	}
	return true
}
