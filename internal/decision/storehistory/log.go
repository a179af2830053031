package storehistory

// Log holds the newest changes of a list, so that whoever has an older list gets only those.
// It goes back to the store's previous era at most. The zero Log is empty.
type Log[V any] struct {
	limit   int
	changes []change[V]
	start   Position // the log has all changes after it
	end     Position // of the list
	// eraStart is the first position of the list in its era, and previousEnd the last one in
	// the era before.
	eraStart, previousEnd Position
}

type change[V any] struct {
	at    Position
	value V
}

// NewLog returns an empty log that keeps at most limit changes.
func NewLog[V any](limit int) *Log[V] { return &Log[V]{limit: limit} }

// Reset empties the log of a list that is known as of a position.
func (l *Log[V]) Reset(at Position) { *l = Log[V]{limit: l.limit, start: at, end: at, eraStart: at} }

// Advance records that the list is known as of a later position. The changes up to it are
// appended afterwards.
func (l *Log[V]) Advance(to Position) {
	if !l.end.Before(to) {
		return
	}
	if to.Era != l.end.Era {
		first := 0
		for first < len(l.changes) && !l.eraStart.Before(l.changes[first].at) {
			first++
		}
		l.changes = append([]change[V](nil), l.changes[first:]...)
		l.start = Later(l.start, l.eraStart)
		l.previousEnd, l.eraStart = l.end, to
	}
	l.end = to
}

// Append adds a change.
func (l *Log[V]) Append(at Position, v V) {
	l.changes = append(l.changes, change[V]{at, v})
	if over := len(l.changes) - l.limit; over > 0 {
		l.start = Later(l.start, l.changes[over-1].at)
		l.changes = append([]change[V](nil), l.changes[over:]...)
	}
}

// Since returns the changes after a position, and whether they lead from the list of that
// position to the newest one. They don't if the log is too short, or if the position is one of
// a lost history that this list never had.
func (l *Log[V]) Since(after Position) (values []V, complete bool) {
	if !after.Before(l.end) {
		return nil, true
	}
	if after.Before(l.start) || after.Era != l.end.Era && l.previousEnd.Before(after) {
		return nil, false
	}
	for _, c := range l.changes {
		if after.Before(c.at) {
			values = append(values, c.value)
		}
	}
	return values, true
}
