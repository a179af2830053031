package gossip

import "slices"

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
