package gossip

import "time"

// Announcement is the newest configuration that a peer has announced.
type Announcement struct {
	Version int64
	Peer    string
	// BehindSince is when this router first knew that its configuration is not the newest.
	BehindSince time.Time
}

// Announced returns the newest configuration that a peer has announced, the zero value if none.
func (g *Gossip) Announced() Announcement {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.announced
}

// recordAnnouncement records and logs that a peer has a newer configuration.
func (g *Gossip) recordAnnouncement(m message, now time.Time) {
	own := g.cfg.State.ConfigVersion()
	g.mu.Lock()
	known := g.announced.Version
	if m.Version <= max(own, known) {
		g.mu.Unlock()
		return
	}
	since := g.announced.BehindSince
	if known <= own {
		since = now
	}
	g.announced = Announcement{Version: m.Version, Peer: m.Host.Name, BehindSince: since}
	g.mu.Unlock()
	g.cfg.Log.WithField("peer", m.Host.Name).WithField("version", m.Version).WithField("had", own).
		WithField("behindMs", now.Sub(since).Milliseconds()).WithField("fetching", g.pullingConfig.Load()).
		WithField("role", string(g.cfg.State.StoreRole())).Info("newer configuration announced")
}
