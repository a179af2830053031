package storehistory

import "time"

// readTimeout is how long a router that does not read the store leaves it to the readers to
// read a new era that it saw, before it does so itself.
const readTimeout = 1300 * time.Millisecond

// Tracker decides when a router reads the store because it was restored. A router sees a new
// era in an answer of the store to any of its calls, or hears of it from a peer. The zero
// Tracker knows no era. It is not safe for concurrent use.
type Tracker struct {
	seen   int64 // newest era that an answer to this router named
	seenAt time.Time
	heard  int64 // newest era that a peer named
}

// See records the era that the store named to this router, given the position of its list.
// It reports whether the router has to read the store, if it is a reader, and tell its peers.
func (t *Tracker) See(era int64, list Position, now time.Time) bool {
	if era <= t.seen {
		return false
	}
	t.seen, t.seenAt = era, now
	return era > list.Era && !list.IsZero()
}

// Hear records the store's era as a peer knows it. It reports whether the router has to read
// the store, if it is a reader.
func (t *Tracker) Hear(era int64, list Position) bool {
	if era <= t.heard {
		return false
	}
	t.heard = era
	return era > list.Era
}

// Read records that the router has read the whole store in an era, so that a newer one that a
// peer named does not exist.
func (t *Tracker) Read(era int64) { t.heard = min(t.heard, era) }

// RestoredSince reports whether the store was restored after a position.
func (t *Tracker) RestoredSince(p Position) bool { return max(t.seen, t.heard) > p.Era }

// Overdue reports whether a router that does not read the store should read the era that it
// saw, because its list still is of an earlier one.
func (t *Tracker) Overdue(list Position, now time.Time) bool {
	return t.seen > list.Era && now.Sub(t.seenAt) > readTimeout
}
