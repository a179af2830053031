package gossip

import "time"

const (
	// joinTimeout bounds how long a router that starts waits for a peer that knows which
	// requests crash servers. A call takes some milliseconds.
	joinTimeout = 100 * time.Millisecond
	// maxUninformed is how many peers must have said that they do not know either, for a
	// router not to wait longer than uninformedWait: all routers have started at once.
	maxUninformed  = 2
	uninformedWait = 30 * time.Millisecond
	// settledTime is how long after its start a router knows what the fleet knows, even
	// if it was told nothing then.
	settledTime = 5 * time.Second
)

// Joined reports whether this router may serve callers: it knows which requests crash
// servers, as far as a peer could tell it.
func (g *Gossip) Joined(now time.Time) bool {
	if g.joined.Load() || now.Sub(g.started) >= joinTimeout {
		return true
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	return len(g.uninformed) >= maxUninformed && now.Sub(g.started) >= uninformedWait
}

// recordUninformed records that a peer does not know what the fleet knew either.
func (g *Gossip) recordUninformed(m message, now time.Time) {
	if m.Informed || now.Sub(g.started) >= joinTimeout {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.uninformed == nil {
		g.uninformed = make(map[string]bool)
	}
	g.uninformed[m.Host.Address] = true
}

// informed reports whether this router knows what the fleet knew before it started.
func (g *Gossip) informed(now time.Time) bool {
	return g.joined.Load() || now.Sub(g.started) >= settledTime
}

// join handles the reply to a call of this router's, which carries all that its sender
// knows.
func (g *Gossip) join(reply message, now time.Time) {
	if g.joined.Load() {
		return
	}
	if reply.Informed {
		g.joined.Store(true)
		g.cfg.Log.WithField("peer", reply.Host.Name).WithField("blocked", reply.Blocked).
			WithField("ms", now.Sub(g.started).Milliseconds()).Info("joined the fleet")
		return
	}
	if !g.Joined(now) {
		g.Trigger() // to call the peers that it named
	}
}
