package admission

import (
	"sort"
	"time"
)

const (
	// maxResumesInRow bounds how long resumes go before all other work.
	maxResumesInRow = 4
	// urgentShare is the part of its allowed wait after which an item goes
	// before more urgent classes.
	urgentShare = 0.5
	// maxQueue bounds memory whatever the deadlines are.
	maxQueue = 4096
)

// Assignment says that an item now holds a slot of a server.
type Assignment struct {
	Item   Item
	Server string
}

// Queue holds the servers of a keeper and the items that wait for them. It is
// not safe for concurrent use.
type Queue struct {
	Chooser Chooser // Best unless a baseline is measured

	servers map[string]*Server
	waiting map[Class]*line
	owner   map[string]string // item to server
	resumes int               // resumes dispatched in a row
}

// NewQueue returns a queue without servers.
func NewQueue() *Queue {
	q := &Queue{Chooser: LowestScore{}, servers: make(map[string]*Server), waiting: make(map[Class]*line), owner: make(map[string]string)}
	for _, c := range Classes {
		q.waiting[c] = newLine()
	}
	return q
}

// PutServer adds a server or updates its declared fields; its work and pace stay.
func (q *Queue) PutServer(s Server) {
	old := q.servers[s.Name]
	if old == nil {
		s.running = make(map[string]Item)
		q.servers[s.Name] = &s
		return
	}
	old.Slots, old.Speed, old.Carries, old.Leaving = s.Slots, s.Speed, s.Carries, s.Leaving
}

// RemoveServer removes a server that this keeper no longer looks after. Its running
// work ends by Release as before.
func (q *Queue) RemoveServer(name string) { delete(q.servers, name) }

// Server returns a server, or nil.
func (q *Queue) Server(name string) *Server { return q.servers[name] }

// ServerNames returns the servers in order.
func (q *Queue) ServerNames() []string {
	names := make([]string, 0, len(q.servers))
	for name := range q.servers {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}

// Len returns the number of waiting items of a class.
func (q *Queue) Len(c Class) int { return q.waiting[c].len() }

// Offer queues an item or refuses it at once if it can't start in time.
func (q *Queue) Offer(now time.Time, it Item) *Refusal {
	if !q.carried(it.Needs) {
		return &Refusal{Item: it, Cause: NoServer, RetryAt: now.Add(time.Second)}
	}
	wait := q.EstimateWait(it)
	if now.Add(wait).After(it.StartBy) || q.total() >= maxQueue {
		return &Refusal{Item: it, Cause: Busy, RetryAt: now.Add(max(wait/2, 100*time.Millisecond))}
	}
	q.waiting[it.Class].push(it)
	return nil
}

// Schedule assigns free slots to waiting items and refuses those that expired.
func (q *Queue) Schedule(now time.Time) ([]Assignment, []Refusal) {
	refused := q.expire(now)
	var assigned []Assignment
	for {
		it, s := q.best(now)
		if s == nil {
			return assigned, refused
		}
		q.assign(it, s)
		assigned = append(assigned, Assignment{Item: it, Server: s.Name})
	}
}

// Release frees the slot of an item.
func (q *Queue) Release(id string) {
	s := q.servers[q.owner[id]]
	delete(q.owner, id)
	if s == nil {
		return
	}
	it, ok := s.running[id]
	if !ok {
		return
	}
	delete(s.running, id)
	if !short(it.Class) {
		s.long--
	}
}

// Remove takes a waiting item out, for a caller that went away.
func (q *Queue) Remove(id string) {
	for _, c := range Classes {
		q.waiting[c].remove(id)
	}
}

// EstimateWait estimates how long an item would wait: nothing if a slot is free for it,
// else the mean work of what runs in its slots, of which one ends first, and all
// work before it in the queue, over the rate of these slots.
func (q *Queue) EstimateWait(it Item) time.Duration {
	var free, running int
	var rate, work float64
	for _, s := range q.servers {
		if s.Leaving || s.Down || !s.Carries[it.Needs] {
			continue
		}
		slots := s.slotsFor(it.Class)
		n, tokens := s.runningIn(it.Class)
		free += max(slots-n, 0)
		running += n
		work += tokens
		rate += float64(slots) * s.Rate()
	}
	ahead := q.ahead(it)
	if free > len(ahead) {
		return 0
	}
	if rate == 0 {
		return time.Hour
	}
	tokens := work / float64(max(running, 1))
	for _, a := range ahead {
		tokens += a.Tokens
	}
	return time.Duration(tokens / rate * float64(time.Second))
}

func (q *Queue) ahead(it Item) []Item {
	var all []Item
	for _, c := range Classes {
		all = append(all, q.waiting[c].ahead(it, c)...)
	}
	return all
}

func (q *Queue) carried(needs string) bool {
	for _, s := range q.servers {
		if s.Carries[needs] && !s.Leaving && !s.Down {
			return true
		}
	}
	return false
}

func (q *Queue) total() int {
	var n int
	for _, l := range q.waiting {
		n += l.len()
	}
	return n
}

func (q *Queue) expire(now time.Time) []Refusal {
	var refused []Refusal
	for _, c := range Classes {
		for _, it := range q.waiting[c].expired(now) {
			refused = append(refused, Refusal{Item: it, Cause: Expired, RetryAt: now.Add(time.Second)})
		}
	}
	return refused
}

// best returns the next item that some server admits, with the server.
func (q *Queue) best(now time.Time) (Item, *Server) {
	for _, c := range q.order(now) {
		for _, it := range q.waiting[c].heads() {
			if s := q.place(it); s != nil {
				return it, s
			}
		}
	}
	return Item{}, nil
}

// order returns the classes in the order they are served now.
func (q *Queue) order(now time.Time) []Class {
	order := make([]Class, 0, len(Classes)+1)
	if q.resumes < maxResumesInRow {
		order = append(order, Resume)
	}
	order = append(order, q.urgent(now)...)
	return append(order, Interactive, Resume, Draft, Batch)
}

// urgent returns the classes whose first item has used up its share of the
// allowed wait, the nearest deadline first.
func (q *Queue) urgent(now time.Time) []Class {
	var classes []Class
	nearest := make(map[Class]time.Time)
	for _, c := range Classes {
		for _, it := range q.waiting[c].heads() {
			allowed := it.StartBy.Sub(it.ArrivedAt)
			if now.Sub(it.ArrivedAt) < time.Duration(urgentShare*float64(allowed)) {
				continue
			}
			if at, ok := nearest[c]; !ok || it.StartBy.Before(at) {
				nearest[c] = it.StartBy
			}
		}
		if _, ok := nearest[c]; ok {
			classes = append(classes, c)
		}
	}
	sort.SliceStable(classes, func(i, j int) bool { return nearest[classes[i]].Before(nearest[classes[j]]) })
	return classes
}

func (q *Queue) place(it Item) *Server {
	servers := make([]*Server, 0, len(q.servers))
	for _, name := range q.ServerNames() {
		servers = append(servers, q.servers[name])
	}
	return q.Chooser.Choose(it, servers)
}

func (q *Queue) assign(it Item, s *Server) {
	q.waiting[it.Class].take(it)
	s.running[it.ID] = it
	s.prefix.add(it.Prefix)
	q.owner[it.ID] = s.Name
	if !short(it.Class) {
		s.long++
	}
	if it.Class == Resume {
		q.resumes++
	} else {
		q.resumes = 0
	}
}
