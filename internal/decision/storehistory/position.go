// Package storehistory orders what routers learn from the platform's store.
//
// A store that is restored from an older copy loses its newest changes and gives out their
// revisions again, so revisions can be compared only within one era of the store.
package storehistory

// Position is a point in the history of the store. The zero Position is before all others.
type Position struct {
	Era      int64 `json:",omitempty"` // rises each time that the store is restored
	Revision int64
}

// Before reports whether p is older than q.
func (p Position) Before(q Position) bool {
	if p.Era != q.Era {
		return p.Era < q.Era
	}
	return p.Revision < q.Revision
}

// IsZero reports whether p is the zero Position.
func (p Position) IsZero() bool { return p == Position{} }

// Earlier returns the earlier of two positions.
func Earlier(p, q Position) Position {
	if q.Before(p) {
		return q
	}
	return p
}

// Later returns the later of two positions.
func Later(p, q Position) Position {
	if p.Before(q) {
		return q
	}
	return p
}
