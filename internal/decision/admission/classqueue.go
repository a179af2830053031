package admission

import (
	"sort"
	"time"
)

// classQueue holds the waiting items of one class. It is fair between
// organisations by start-time fair queueing: each item advances the virtual time
// of its organisation by tokens divided by weight, and the item with the smallest
// virtual start time is served first.
type classQueue struct {
	byOrganisation map[string][]Item
	lastFinish     map[string]float64 // virtual finish time of an organisation's newest item
	virtualTime    float64
	length         int
}

func newClassQueue() *classQueue {
	return &classQueue{byOrganisation: make(map[string][]Item), lastFinish: make(map[string]float64)}
}

func (q *classQueue) len() int { return q.length }

func (q *classQueue) push(item Item) {
	item.virtualStart = max(q.virtualTime, q.lastFinish[item.Organisation])
	item.virtualFinish = item.virtualStart + max(item.Tokens, 1)/max(item.Weight, 0.001)
	q.lastFinish[item.Organisation] = item.virtualFinish
	q.byOrganisation[item.Organisation] = append(q.byOrganisation[item.Organisation], item)
	q.length++
}

// heads returns the first item of each organisation for each model key, in the
// order in which they are served.
func (q *classQueue) heads() []Item {
	heads := make([]Item, 0, len(q.byOrganisation))
	for _, items := range q.byOrganisation {
		seen := make(map[string]bool, 1)
		for _, item := range items {
			if !seen[item.ModelKey] {
				seen[item.ModelKey] = true
				heads = append(heads, item)
			}
		}
	}
	sort.Slice(heads, func(i, j int) bool {
		if heads[i].virtualStart != heads[j].virtualStart {
			return heads[i].virtualStart < heads[j].virtualStart
		}
		return heads[i].ID < heads[j].ID
	})
	return heads
}

// dequeue removes an item that is served now and advances the virtual time.
func (q *classQueue) dequeue(item Item) {
	q.remove(item.ID)
	q.virtualTime = max(q.virtualTime, item.virtualStart)
	if q.length == 0 {
		q.lastFinish = make(map[string]float64)
		q.virtualTime = 0
	}
}

func (q *classQueue) remove(id string) {
	for organisation, items := range q.byOrganisation {
		for i := range items {
			if items[i].ID == id {
				q.removeAt(organisation, i)
				return
			}
		}
	}
}

func (q *classQueue) removeAt(organisation string, i int) {
	items := q.byOrganisation[organisation]
	items = append(items[:i:i], items[i+1:]...)
	q.length--
	if len(items) == 0 {
		delete(q.byOrganisation, organisation)
		return
	}
	q.byOrganisation[organisation] = items
}

// removeExpired removes and returns the items whose StartBy has passed.
func (q *classQueue) removeExpired(now time.Time) []Item {
	var expired []Item
	for _, items := range q.byOrganisation {
		for _, item := range items {
			if now.After(item.StartBy) {
				expired = append(expired, item)
			}
		}
	}
	sort.Slice(expired, func(i, j int) bool { return expired[i].ID < expired[j].ID })
	for _, item := range expired {
		q.remove(item.ID)
	}
	return expired
}

// ahead returns the items of this queue, whose class is c, that would be served
// before a new item.
func (q *classQueue) ahead(item Item, c Class) []Item {
	if q.length == 0 {
		return nil
	}
	start := max(q.virtualTime, q.lastFinish[item.Organisation])
	var all []Item
	for _, items := range q.byOrganisation {
		for _, other := range items {
			if moreUrgent(c, item.Class) || c == item.Class && other.virtualStart <= start {
				all = append(all, other)
			}
		}
	}
	return all
}

func moreUrgent(a, b Class) bool {
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
