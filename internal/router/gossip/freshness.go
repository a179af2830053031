package gossip

import (
	"time"

	"wisteriafield/internal/decision/freshness"
)

// addFreshness adds to a message how far its sender knows the store.
func addFreshness(m *message, own freshness.State, now time.Time) {
	if own.ConfirmedAt.IsZero() {
		return
	}
	age := now.Sub(own.ConfirmedAt).Milliseconds()
	m.ConfirmedMs = &age
	if own.ConfigAt != own.List {
		m.ConfigAt = &own.ConfigAt
	}
}

// freshness returns how far the sender of a message, which arrived now, knows the store, and
// whether it says so. A router of an earlier release doesn't.
func (m message) freshness(now time.Time) (peer freshness.State, known bool) {
	if m.ConfirmedMs == nil || *m.ConfirmedMs < 0 {
		return freshness.State{}, false
	}
	peer = freshness.State{Version: m.Version, List: m.position(0), ConfirmedAt: now.Add(-millis(*m.ConfirmedMs))}
	peer.ConfigAt = peer.List
	if m.ConfigAt != nil {
		peer.ConfigAt = *m.ConfigAt
	}
	return peer, true
}
