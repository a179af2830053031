// Package freshness decides until when a router may leave the store to its peers. What it has
// of the store is the newest as of the last moment that an answer of the store, or a peer that
// has nothing newer, confirms. A router that nothing confirms reads the store itself, whatever
// keeps its peers' messages or state from it.
package freshness

import (
	"time"

	"wisteriafield/internal/decision/storehistory"
)

// State is what a router has of the store.
type State struct {
	Version int64                 // of its configuration
	List    storehistory.Position // of its server list
	// ConfigAt is the point in the store's history up to which no configuration is newer. The
	// server list has a position of its own, since the two are fetched apart.
	ConfigAt storehistory.Position
	// ConfirmedAt is the last moment as of which both are known to be the newest; zero if none.
	ConfirmedAt time.Time
}

// Tracker tracks how far a router knows the store. It is not safe for concurrent use.
type Tracker struct {
	configAt    storehistory.Position
	confirmedAt time.Time
}

// Read records that the store answered this router, which knows all up to a position now.
func (t *Tracker) Read(at storehistory.Position, now time.Time) {
	t.configAt = storehistory.Later(t.configAt, at)
	t.confirm(now)
}

// Hear records what a peer has of the store, given this router's version and list.
func (t *Tracker) Hear(peer State, version int64, list storehistory.Position) {
	if version < peer.Version {
		return
	}
	t.configAt = storehistory.Later(t.configAt, peer.ConfigAt)
	if !list.Before(peer.List) {
		t.confirm(peer.ConfirmedAt)
	}
}

func (t *Tracker) confirm(at time.Time) {
	if at.After(t.confirmedAt) {
		t.confirmedAt = at
	}
}

// ConfigAt returns the point in the store's history up to which this router's configuration is
// known to be the newest. Changes after it are still to be read.
func (t *Tracker) ConfigAt() storehistory.Position { return t.configAt }

// ConfirmedAt returns the last moment as of which what this router has is known to be the
// newest, the zero time if there is none.
func (t *Tracker) ConfirmedAt() time.Time { return t.confirmedAt }

// Overdue reports whether this router has to read the store itself for a change to be in effect
// within changeTime of its acknowledgement.
func (t *Tracker) Overdue(changeTime time.Duration, now time.Time) bool {
	return now.Sub(t.confirmedAt) >= MaxAge(changeTime)
}

// maxAgeShare is the part of the time that a change may take after which a router reads the
// store. The rest is for the next check of its role and the call.
const maxAgeShare = 0.7

// firstTryMargin is the time that the next check of a router's role and its calls may take.
const firstTryMargin = 400 * time.Millisecond

// MaxAge returns the age of the last confirmation from which a router reads the store itself.
func MaxAge(changeTime time.Duration) time.Duration {
	return time.Duration(maxAgeShare * float64(changeTime))
}

// FirstTryDelay returns by how much a router's first try in an outage of the store follows the
// moment at which its last confirmation has MaxAge, given a random number in [0, 1). All routers
// reach that age at the same time.
func FirstTryDelay(changeTime time.Duration, random float64) time.Duration {
	return time.Duration(random * float64(max(0, changeTime-MaxAge(changeTime)-firstTryMargin)))
}

// WatchedAt returns the moment as of which the answer to a watch is known to be the newest: not
// after the watch was to end, since this process or its host may have stood still meanwhile. The
// store may have given an answer with changes at any time since the start.
func WatchedAt(start, now time.Time, wait time.Duration, changed bool) time.Time {
	switch {
	case now.Sub(start) <= wait:
		return now
	case changed:
		return start
	default:
		return start.Add(wait)
	}
}
