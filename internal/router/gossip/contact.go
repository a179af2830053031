package gossip

import (
	"context"
	"time"
)

// Add adds a peer, unless it is this router, or completes what is known of one that has
// sent no message yet. Peers relay heartbeats by name, so a named peer counts as live
// without a call to it.
func (g *Gossip) Add(h Host) {
	if h.Address == "" || h.Address == g.cfg.Self.Address {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	p := g.peers[h.Address]
	if p == nil {
		p = &peer{address: h.Address, addedAt: time.Now()}
		g.peers[h.Address] = p
		g.peersChanged.Store(true)
	}
	if p.host.Name == "" && h.Name != "" {
		p.host = h
		g.peersChanged.Store(true)
	}
}

// contactSilentPeers makes exchange calls to peers without a recent heartbeat:
// datagrams reach only peers whose datagram address is known.
func (g *Gossip) contactSilentPeers(ctx context.Context, now time.Time) {
	for _, address := range g.silentPeers(now) {
		go g.exchange(ctx, address)
	}
}

// silentPeers picks the silent peers to call now, and removes those silent for longer
// than peerTTL unless they are seeds.
func (g *Gossip) silentPeers(now time.Time) []string {
	g.mu.Lock()
	defer g.mu.Unlock()
	peerTimeout := g.plan().PeerTimeout
	var addresses []string
	for address, p := range g.peers {
		if now.Sub(p.lastHeartbeatAt) < peerTimeout {
			continue
		}
		if now.Sub(p.lastHeartbeatAt) > peerTTL && now.Sub(p.addedAt) > peerTTL && !g.isSeed(address) {
			delete(g.peers, address)
			continue
		}
		if p.calling || now.Sub(p.lastContactAt) < contactRetryInterval || len(addresses) >= maxContacts {
			continue
		}
		p.lastContactAt, p.calling = now, true
		addresses = append(addresses, address)
	}
	return addresses
}

func (g *Gossip) isSeed(address string) bool {
	for _, s := range g.cfg.Seeds {
		if s == address {
			return true
		}
	}
	return false
}

// exchange calls a peer and handles its reply. An error needs no report: the peer
// stays silent and is called again.
func (g *Gossip) exchange(ctx context.Context, address string) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	var reply message
	err := g.cfg.Caller.Call(ctx, address, methodExchange, g.buildMessage(true, maxCallNews), &reply)
	g.mu.Lock()
	if p := g.peers[address]; p != nil {
		p.calling = false
	}
	g.mu.Unlock()
	if err == nil {
		g.handle(reply)
		g.join(reply, time.Now())
	}
}
