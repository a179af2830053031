package enginetable

import (
	"container/list"
	"slices"
	"time"
)

const (
	// RepeatInterval is how often routers repeat to owners what they run, which makes up for lost
	// datagrams and tells new owners.
	RepeatInterval = 2 * time.Second
	// entryTTL is how long an entry counts after its last notice: two repeats may be lost.
	entryTTL = 5 * time.Second
	// offerTTL is how long an offer counts as if its attempt had begun: the time in which the
	// router that asked decides and its notice arrives.
	offerTTL = 150 * time.Millisecond
	// maxEntries bounds the entries of a table.
	maxEntries = 4096
)

// Key identifies an incarnation of an engine.
type Key struct {
	ID      string
	Started int64
}

// Attempt is the state of an attempt at an engine, or of a backup that it keeps.
type Attempt struct {
	ID            uint64
	Engine        Key
	PrefillTokens int // that the engine has not prefilled yet
	UsedTokens    int // of the KV cache
	Backup        bool
	Router        string // that runs it
}

// Load is the load of an engine by the entries of a table.
type Load struct {
	Running      int
	QueuedTokens int
	UsedTokens   int
}

// entry is an attempt or a backup or, for a while, one that has ended: a late notice must not bring
// it back.
type entry struct {
	Attempt
	ended     bool
	expiresAt time.Time
}

func (e *entry) load() Load {
	switch {
	case e.ended:
		return Load{}
	case e.Backup:
		return Load{UsedTokens: e.UsedTokens}
	default:
		return Load{Running: 1, QueuedTokens: e.PrefillTokens, UsedTokens: e.UsedTokens}
	}
}

// Table holds the attempts at the engines of an owner. It is not safe for concurrent use.
type Table struct {
	cost     Cost
	attempts map[uint64]*list.Element // by ID
	order    list.List                // of *entry, the oldest last notice first
	offers   list.List                // of *offered, the oldest first
	loads    map[Key]Load
	live     int // entries that have not ended
}

// New returns an empty table that offers engines by a cost function.
func New(cost Cost) *Table {
	return &Table{cost: cost, attempts: make(map[uint64]*list.Element), loads: make(map[Key]Load)}
}

// Len returns the number of attempts and backups in the table.
func (t *Table) Len(now time.Time) int {
	t.expire(now)
	return t.live
}

// Load returns the load of an engine, with the offers that count.
func (t *Table) Load(engine Key, now time.Time) Load {
	t.expire(now)
	return t.loads[engine]
}

// Routers returns the routers that have attempts or backups at an engine.
func (t *Table) Routers(engine Key) []string {
	var names []string
	for element := t.order.Front(); element != nil; element = element.Next() {
		if e := element.Value.(*entry); e.Engine == engine && !e.ended && !slices.Contains(names, e.Router) {
			names = append(names, e.Router)
		}
	}
	return names
}

// Record records the state of an attempt that has begun, has got its first event, or goes on.
func (t *Table) Record(a Attempt, now time.Time) {
	t.expire(now)
	element := t.attempts[a.ID]
	if element == nil {
		t.insert(&entry{Attempt: a, expiresAt: now.Add(entryTTL)})
		return
	}
	e := element.Value.(*entry)
	if e.ended || e.Engine != a.Engine {
		return
	}
	if e.PrefillTokens == 0 {
		a.PrefillTokens = 0 // the notice of the begin was overtaken
	}
	t.add(e.Engine, e.load(), -1)
	e.Attempt, e.expiresAt = a, now.Add(entryTTL)
	t.add(e.Engine, e.load(), 1)
	t.order.MoveToBack(element)
}

// End records that an attempt has ended.
func (t *Table) End(id uint64, engine Key, now time.Time) {
	t.expire(now)
	element := t.attempts[id]
	if element == nil {
		t.insert(&entry{Attempt: Attempt{ID: id, Engine: engine}, ended: true, expiresAt: now.Add(entryTTL)})
		return
	}
	e := element.Value.(*entry)
	if e.ended {
		return
	}
	t.add(e.Engine, e.load(), -1)
	e.ended, e.expiresAt = true, now.Add(entryTTL)
	t.live--
	t.order.MoveToBack(element)
}

func (t *Table) insert(e *entry) {
	if t.order.Len() >= maxEntries {
		t.remove(t.order.Front())
	}
	t.attempts[e.ID] = t.order.PushBack(e)
	if !e.ended {
		t.live++
	}
	t.add(e.Engine, e.load(), 1)
}

func (t *Table) remove(element *list.Element) {
	e := element.Value.(*entry)
	t.order.Remove(element)
	delete(t.attempts, e.ID)
	if !e.ended {
		t.live--
	}
	t.add(e.Engine, e.load(), -1)
}

// add adds a load to an engine's, or subtracts it with sign -1.
func (t *Table) add(engine Key, l Load, sign int) {
	sum := t.loads[engine]
	sum.Running += sign * l.Running
	sum.QueuedTokens += sign * l.QueuedTokens
	sum.UsedTokens += sign * l.UsedTokens
	if sum == (Load{}) {
		delete(t.loads, engine)
		return
	}
	t.loads[engine] = sum
}

// expire removes the entries and offers whose time is over.
func (t *Table) expire(now time.Time) {
	for front := t.order.Front(); front != nil && !now.Before(front.Value.(*entry).expiresAt); front = t.order.Front() {
		t.remove(front)
	}
	for front := t.offers.Front(); front != nil && !now.Before(front.Value.(*offered).expiresAt); front = t.offers.Front() {
		t.withdraw(front)
	}
}
