package admission

import (
	"sort"
	"time"
)

const (
	// maxConsecutiveResumes bounds how many resumes in a row are served before
	// all other work.
	maxConsecutiveResumes = 4
	// promotionWaitShare is the share of its allowed wait after which an item is
	// served before more urgent classes.
	promotionWaitShare = 0.5
	// maxWaitingItems bounds the memory use, whatever the deadlines are.
	maxWaitingItems = 4096
)

// Assignment is an item with the server whose slot it now holds.
type Assignment struct {
	Item   Item
	Server string
}

// Queue holds the servers that a keeper manages and the items that wait for
// them. It is not safe for concurrent use.
type Queue struct {
	Chooser Chooser // LowestScore, except where a baseline is compared

	servers            map[string]*Server
	waiting            map[Class]*classQueue
	serverOf           map[string]string // item ID to server name
	consecutiveResumes int               // resumes assigned since the last item of another class
}

// NewQueue returns a queue without servers.
func NewQueue() *Queue {
	q := &Queue{Chooser: LowestScore{}, servers: make(map[string]*Server), waiting: make(map[Class]*classQueue), serverOf: make(map[string]string)}
	for _, c := range Classes {
		q.waiting[c] = newClassQueue()
	}
	return q
}

// PutServer adds a server or updates its declared fields. The running items and
// the pace of a known server are kept.
func (q *Queue) PutServer(s Server) {
	old := q.servers[s.Name]
	if old == nil {
		s.running = make(map[string]Item)
		q.servers[s.Name] = &s
		return
	}
	old.Slots, old.Speed, old.Carries, old.Leaving = s.Slots, s.Speed, s.Carries, s.Leaving
}

// RemoveServer removes a server that this keeper no longer manages. Release is
// still to be called for its running items.
func (q *Queue) RemoveServer(name string) { delete(q.servers, name) }

// Server returns the server with the given name, or nil.
func (q *Queue) Server(name string) *Server { return q.servers[name] }

// ServerNames returns the names of the servers in alphabetical order.
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

// Offer queues an item. It refuses the item at once if no available server
// carries its model key, if it can't start in time, or if the queue is full.
func (q *Queue) Offer(now time.Time, item Item) *Refusal {
	if !q.hasServerFor(item.ModelKey) {
		return &Refusal{Item: item, Cause: NoServer, RetryAt: now.Add(time.Second)}
	}
	wait := q.EstimateWait(item)
	if now.Add(wait).After(item.StartBy) || q.totalWaiting() >= maxWaitingItems {
		return &Refusal{Item: item, Cause: Busy, RetryAt: now.Add(max(wait/2, 100*time.Millisecond))}
	}
	q.waiting[item.Class].push(item)
	return nil
}

// Schedule assigns free slots to waiting items. It removes the items whose
// StartBy has passed and returns them as refused.
func (q *Queue) Schedule(now time.Time) ([]Assignment, []Refusal) {
	refused := q.removeExpired(now)
	var assigned []Assignment
	for {
		item, s := q.nextAssignable(now)
		if s == nil {
			return assigned, refused
		}
		q.assign(item, s)
		assigned = append(assigned, Assignment{Item: item, Server: s.Name})
	}
}

// Release frees the slot of an item.
func (q *Queue) Release(id string) {
	s := q.servers[q.serverOf[id]]
	delete(q.serverOf, id)
	if s == nil {
		return
	}
	item, ok := s.running[id]
	if !ok {
		return
	}
	delete(s.running, id)
	if !isShort(item.Class) {
		s.runningLong--
	}
}

// Remove removes a waiting item, for a caller that disconnected.
func (q *Queue) Remove(id string) {
	for _, c := range Classes {
		q.waiting[c].remove(id)
	}
}

// EstimateWait estimates how long an item would wait: zero if a slot is free for
// it, otherwise the work ahead of it in tokens, divided by the rate in tokens per
// second of the slots that its class may use. The work ahead is the mean of the
// items that run in these slots, of which one ends first, plus all items before
// it in the queue.
func (q *Queue) EstimateWait(item Item) time.Duration {
	var free, running int
	var rate, work float64
	for _, s := range q.servers {
		if s.Leaving || s.Down || !s.Carries[item.ModelKey] {
			continue
		}
		slots := s.slotsFor(item.Class)
		n, tokens := s.runningIn(item.Class)
		free += max(slots-n, 0)
		running += n
		work += tokens
		rate += float64(slots) * s.Rate()
	}
	ahead := q.ahead(item)
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

func (q *Queue) ahead(item Item) []Item {
	var all []Item
	for _, c := range Classes {
		all = append(all, q.waiting[c].ahead(item, c)...)
	}
	return all
}

// hasServerFor reports whether some available server carries a model key.
func (q *Queue) hasServerFor(modelKey string) bool {
	for _, s := range q.servers {
		if s.Carries[modelKey] && !s.Leaving && !s.Down {
			return true
		}
	}
	return false
}

// FreeServers returns the names of the servers, but for one, that admit an item now.
func (q *Queue) FreeServers(item Item, except string) []string {
	var free []string
	for _, name := range q.ServerNames() {
		if name != except && q.servers[name].admits(item) {
			free = append(free, name)
		}
	}
	return free
}

func (q *Queue) totalWaiting() int {
	var n int
	for _, queue := range q.waiting {
		n += queue.len()
	}
	return n
}

func (q *Queue) removeExpired(now time.Time) []Refusal {
	var refused []Refusal
	for _, c := range Classes {
		for _, item := range q.waiting[c].removeExpired(now) {
			refused = append(refused, Refusal{Item: item, Cause: Expired, RetryAt: now.Add(time.Second)})
		}
	}
	return refused
}

// nextAssignable returns the next item that some server admits, and that server.
func (q *Queue) nextAssignable(now time.Time) (Item, *Server) {
	for _, c := range q.classOrder(now) {
		for _, item := range q.waiting[c].heads() {
			if s := q.chooseServer(item); s != nil {
				return item, s
			}
		}
	}
	return Item{}, nil
}

// classOrder returns the classes in the order in which they are served now.
func (q *Queue) classOrder(now time.Time) []Class {
	order := make([]Class, 0, len(Classes)+1)
	if q.consecutiveResumes < maxConsecutiveResumes {
		order = append(order, Resume)
	}
	order = append(order, q.promotedClasses(now)...)
	return append(order, Interactive, Resume, Draft, Batch)
}

// promotedClasses returns the classes of which an item that is first in its
// queue has waited promotionWaitShare of its allowed wait, the nearest deadline
// first.
func (q *Queue) promotedClasses(now time.Time) []Class {
	var classes []Class
	nearest := make(map[Class]time.Time)
	for _, c := range Classes {
		for _, item := range q.waiting[c].heads() {
			allowed := item.StartBy.Sub(item.ArrivedAt)
			if now.Sub(item.ArrivedAt) < time.Duration(promotionWaitShare*float64(allowed)) {
				continue
			}
			if at, ok := nearest[c]; !ok || item.StartBy.Before(at) {
				nearest[c] = item.StartBy
			}
		}
		if _, ok := nearest[c]; ok {
			classes = append(classes, c)
		}
	}
	sort.SliceStable(classes, func(i, j int) bool { return nearest[classes[i]].Before(nearest[classes[j]]) })
	return classes
}

func (q *Queue) chooseServer(item Item) *Server {
	servers := make([]*Server, 0, len(q.servers))
	for _, name := range q.ServerNames() {
		servers = append(servers, q.servers[name])
	}
	return q.Chooser.Choose(item, servers)
}

func (q *Queue) assign(item Item, s *Server) {
	q.waiting[item.Class].dequeue(item)
	s.running[item.ID] = item
	s.prefixes.add(item.Prefix)
	q.serverOf[item.ID] = s.Name
	if !isShort(item.Class) {
		s.runningLong++
	}
	if item.Class == Resume {
		q.consecutiveResumes++
	} else {
		q.consecutiveResumes = 0
	}
}
