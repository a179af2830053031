package admission

import (
	"sort"
	"time"
)

// line is the waiting items of one class, fair between organisations by
// start-time fair queueing: an organisation's items advance its virtual time by
// tokens over weight, and the smallest virtual time goes first.
type line struct {
	queues  map[string][]Item
	finish  map[string]float64
	virtual float64
	n       int
}

func newLine() *line {
	return &line{queues: make(map[string][]Item), finish: make(map[string]float64)}
}

func (l *line) len() int { return l.n }

func (l *line) push(it Item) {
	it.start = max(l.virtual, l.finish[it.Organisation])
	it.finish = it.start + max(it.Tokens, 1)/max(it.Weight, 0.001)
	l.finish[it.Organisation] = it.finish
	l.queues[it.Organisation] = append(l.queues[it.Organisation], it)
	l.n++
}

// heads returns the first item for each need of each organisation, in the order
// they are to be served.
func (l *line) heads() []Item {
	heads := make([]Item, 0, len(l.queues))
	for _, items := range l.queues {
		seen := make(map[string]bool, 1)
		for _, it := range items {
			if !seen[it.Needs] {
				seen[it.Needs] = true
				heads = append(heads, it)
			}
		}
	}
	sort.Slice(heads, func(i, j int) bool {
		if heads[i].start != heads[j].start {
			return heads[i].start < heads[j].start
		}
		return heads[i].ID < heads[j].ID
	})
	return heads
}

func (l *line) take(it Item) {
	l.remove(it.ID)
	l.virtual = max(l.virtual, it.start)
	if l.n == 0 {
		l.finish = make(map[string]float64)
		l.virtual = 0
	}
}

func (l *line) remove(id string) {
	for org, items := range l.queues {
		for i := range items {
			if items[i].ID == id {
				l.cut(org, i)
				return
			}
		}
	}
}

func (l *line) cut(org string, i int) {
	items := l.queues[org]
	items = append(items[:i:i], items[i+1:]...)
	l.n--
	if len(items) == 0 {
		delete(l.queues, org)
		return
	}
	l.queues[org] = items
}

func (l *line) expired(now time.Time) []Item {
	var gone []Item
	for _, items := range l.queues {
		for _, it := range items {
			if now.After(it.StartBy) {
				gone = append(gone, it)
			}
		}
	}
	sort.Slice(gone, func(i, j int) bool { return gone[i].ID < gone[j].ID })
	for _, it := range gone {
		l.remove(it.ID)
	}
	return gone
}

// ahead returns the items that would be served before a new one of class c.
func (l *line) ahead(it Item, c Class) []Item {
	if l.n == 0 {
		return nil
	}
	start := max(l.virtual, l.finish[it.Organisation])
	var all []Item
	for _, items := range l.queues {
		for _, other := range items {
			if before(c, it.Class) || c == it.Class && other.start <= start {
				all = append(all, other)
			}
		}
	}
	return all
}

func before(a, b Class) bool {
	for _, c := range Classes {
		if c == b {
			return false
		}
		if c == a {
			return true
		}
	}
	return false
}
