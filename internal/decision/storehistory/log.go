package storehistory

// Log holds the newest changes of a list, so that whoever has an older list gets only those.
// The zero Log is empty.
type Log[V any] struct {
	limit   int
	changes []change[V]
	start   Position // the log has all changes after it
	end     Position // of the list
	gap     Gap
}

// Gap is a part of the store's history that a list has passed over, because it was replaced as
// a whole. Whatever lies between From and To may have been lost or undone since, so the
// differences of the two lists lead nowhere from there.
type Gap struct {
	From, To Position
}

// IsZero reports whether g is the zero Gap, which holds no position.
func (g Gap) IsZero() bool { return g == Gap{} }

// Contains reports whether a position lies within the gap. Its ends do not.
func (g Gap) Contains(p Position) bool { return g.From.Before(p) && p.Before(g.To) }

type change[V any] struct {
	at    Position
	value V
}

// NewLog returns an empty log that keeps at most limit changes.
func NewLog[V any](limit int) *Log[V] { return &Log[V]{limit: limit} }

// Reset empties the log of a list that is known as of a position.
func (l *Log[V]) Reset(at Position) { *l = Log[V]{limit: l.limit, start: at, end: at} }

// Advance records that the list is known as of a later position. The changes up to it are
// appended afterwards.
func (l *Log[V]) Advance(to Position) { l.end = Later(l.end, to) }

// Skip records a gap, after which the list goes on. The differences are appended afterwards,
// as changes at the end of the gap. The log goes back to the gap before at most.
func (l *Log[V]) Skip(gap Gap) {
	if !l.gap.IsZero() {
		l.start = Later(l.start, l.gap.To)
		kept := l.changes[:0]
		for _, c := range l.changes {
			if l.start.Before(c.at) {
				kept = append(kept, c)
			}
		}
		l.changes = kept
	}
	l.gap = gap
	l.Advance(gap.To)
}

// Append adds a change.
func (l *Log[V]) Append(at Position, v V) {
	l.changes = append(l.changes, change[V]{at, v})
	if over := len(l.changes) - l.limit; over > 0 {
		l.start = Later(l.start, l.changes[over-1].at)
		l.changes = append([]change[V](nil), l.changes[over:]...)
	}
}

// Since returns the changes after a position and the gap among them, if there is one. They are
// complete if they lead from the list of that position to the newest one.
func (l *Log[V]) Since(after Position) (values []V, gap Gap, complete bool) {
	if !after.Before(l.end) {
		return nil, Gap{}, true
	}
	if after.Before(l.start) || l.gap.Contains(after) {
		return nil, Gap{}, false
	}
	for _, c := range l.changes {
		if after.Before(c.at) {
			values = append(values, c.value)
		}
	}
	if after.Before(l.gap.To) {
		gap = l.gap
	}
	return values, gap, true
}
