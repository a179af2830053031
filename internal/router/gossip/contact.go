package gossip

import (
	"context"
	"time"
)

// greet calls peers that were not heard of lately, since datagrams reach only
// those whose address for them is known.
func (g *Gossip) greet(ctx context.Context, now time.Time) {
	for _, address := range g.silent(now) {
		go g.call(ctx, address)
	}
}

// silent picks the peers to call now, and forgets those that stay silent.
func (g *Gossip) silent(now time.Time) []string {
	g.mu.Lock()
	defer g.mu.Unlock()
	fresh := g.plan().PeerTimeout
	var addresses []string
	for address, p := range g.peers {
		if now.Sub(p.seenAt) < fresh {
			continue
		}
		if now.Sub(p.seenAt) > forgetAfter && now.Sub(p.addedAt) > forgetAfter && !g.seed(address) {
			delete(g.peers, address)
			continue
		}
		if p.calling || now.Sub(p.triedAt) < retryPeriod || len(addresses) >= called {
			continue
		}
		p.triedAt, p.calling = now, true
		addresses = append(addresses, address)
	}
	return addresses
}

func (g *Gossip) seed(address string) bool {
	for _, s := range g.cfg.Seeds {
		if s == address {
			return true
		}
	}
	return false
}

func (g *Gossip) call(ctx context.Context, address string) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	var reply message
	err := g.cfg.Caller.Call(ctx, address, methodExchange, g.message(true), &reply)
	g.mu.Lock()
	if p := g.peers[address]; p != nil {
		p.calling = false
	}
	g.mu.Unlock()
	if err == nil {
		g.take(reply)
	}
}
