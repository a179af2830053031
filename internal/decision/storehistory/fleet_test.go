package storehistory_test

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"time"

	"wisteriafield/internal/decision/dissemination"
	"wisteriafield/internal/decision/storehistory"
	"wisteriafield/internal/decision/storereader"
)

const (
	step            = 50 * time.Millisecond
	networkDelay    = step
	roleInterval    = 600 * time.Millisecond // as often as the others' states change
	watchTime       = time.Second            // of a watch without changes
	batchDelay      = 300 * time.Millisecond // of the primary after changes
	secondaryDelay  = time.Second
	maxRetryDelay   = time.Second
	maxRefusedDelay = 4 * time.Second
	answerFresh     = 1300 * time.Millisecond // a reader with an older answer does not announce
	viewInterval    = 600 * time.Millisecond  // until all know of an answer
	maxLogged       = 512
)

var start = time.Unix(1_000, 0)

// router is a router with what it knows.
type router struct {
	index    int
	elector  *storereader.Elector
	tracker  storehistory.Tracker
	seen     int64 // newest era that the store named to it
	log      *storehistory.Log[write]
	list     storehistory.Position
	entries  map[string]int64
	version  int64
	state    storereader.Router
	role     storereader.Role
	delay    time.Duration // after the next failed call
	nextCall time.Duration
	watching bool // a watch after list is in progress
	nextSend time.Duration
	cut      bool // off from the store and its peers
}

// message is what a router tells a peer.
type message struct {
	from    *router
	to      *router
	arrives time.Duration
	list    storehistory.Position
	era     int64
	version int64
}

// fleet is a fleet of routers before a store.
type fleet struct {
	store    *store
	routers  []*router
	readers  map[*router]bool
	known    []storereader.Router // what all peers know, as of the last messages
	knownAt  time.Duration
	messages []message
	random   *rand.Rand
	plan     dissemination.Plan
	now      time.Duration
}

func newFleet(n int) *fleet {
	f := &fleet{
		store:   &store{storeState: storeState{position: at(1, 1), entries: map[string]int64{}, version: 1}, past: map[time.Duration]storeState{}, calls: map[int]int{}},
		readers: make(map[*router]bool),
		random:  rand.New(rand.NewPCG(3, uint64(n))), plan: dissemination.NewPlan(n - 1),
	}
	for i := range n {
		f.routers = append(f.routers, f.newRouter(i))
		f.known = append(f.known, f.routers[i].state)
	}
	return f
}

// newRouter returns a router that has just started.
func (f *fleet) newRouter(i int) *router {
	return &router{
		index: i, elector: storereader.NewElector(f.random.Float64), log: storehistory.NewLog[write](maxLogged), entries: map[string]int64{},
		state: storereader.Router{Name: fmt.Sprintf("router-%d", i), HeardAt: start}, role: storereader.Idle, delay: maxRetryDelay,
		nextCall: f.now + time.Duration(f.random.Int64N(int64(roleInterval))), nextSend: f.now + time.Duration(f.random.Int64N(int64(f.plan.IdleInterval))),
	}
}

// advance plays one step.
func (f *fleet) advance() {
	f.now += step
	f.store.past[f.now] = f.store.clone()
	if f.now-f.knownAt >= viewInterval {
		f.knownAt = f.now
		for i, r := range f.routers {
			if !r.cut {
				f.known[i] = r.state
				f.known[i].HeardAt = start.Add(f.now)
			}
		}
	}
	due := f.messages
	f.messages = nil
	for _, m := range due {
		switch {
		case m.arrives > f.now:
			f.messages = append(f.messages, m)
		case !m.from.cut && !m.to.cut:
			f.receive(m)
		}
	}
	for _, r := range f.routers {
		if f.now >= r.nextCall || r.watching && (f.store.down || r.cut || f.store.position != r.list) {
			f.call(r)
		}
		if f.now >= r.nextSend {
			r.nextSend = f.now + f.plan.IdleInterval
			f.send(r)
		}
	}
}

// call lets a router decide its role and call the store.
func (f *fleet) call(r *router) {
	now := start.Add(f.now)
	role := storereader.Primary
	outage := false
	if !r.list.IsZero() {
		own := f.known[r.index]
		f.known[r.index] = f.known[len(f.known)-1]
		d := r.elector.Decide(r.state, f.known[:len(f.known)-1], now)
		f.known[r.index] = own
		role, outage = d.Role, d.Outage
		if role == storereader.Idle && r.tracker.Overdue(r.list, now) {
			role = storereader.Trial
		}
	}
	r.role, r.state.ReadsStore = role, role != storereader.Idle
	if role == storereader.Idle {
		delete(f.readers, r)
		r.state.Failing, r.watching = false, false
		r.nextCall = f.now + roleInterval
		return
	}
	f.readers[r] = true
	if !r.watching && !r.cut {
		f.store.calls[int(f.now/time.Second)]++
	}
	if f.store.down || r.cut {
		wasFailing := r.state.Failing
		r.watching, r.state.Failing = false, true
		r.nextCall = f.now + r.delay/2 + time.Duration(f.random.Int64N(int64(r.delay)))
		r.delay = min(2*r.delay, maxRefusedDelay)
		if outage {
			r.delay = min(r.delay, maxRetryDelay)
		}
		if !wasFailing {
			f.send(r)
		}
		return
	}
	r.state.ReachedAt, r.state.Failing, r.delay = now, false, maxRetryDelay
	f.answer(r)
}

// answer gives a router the store's answer to its range or watch.
func (f *fleet) answer(r *router) {
	had, era := r.list, f.store.position.Era
	f.see(r)
	if r.list.IsZero() || r.tracker.RestoredSince(r.list) {
		f.store.ranges = append(f.store.ranges, f.now)
		r.tracker.Read(era)
		r.replace(f.store.position, f.store.entries)
	} else {
		var news []write
		for _, w := range f.store.writes {
			if r.list.Before(w.at) {
				news = append(news, w)
			}
		}
		r.apply(f.store.position, news)
	}
	r.version = max(r.version, f.store.version)
	r.watching = had == r.list
	r.nextCall = f.now + watchTime
	if !r.watching {
		f.send(r)
		r.nextCall = f.now + batchDelay
		if r.role == storereader.Secondary {
			r.nextCall = f.now + secondaryDelay
		}
	}
}

// see lets a router see the store's era in an answer to any call. It reports whether the era
// is new to it.
func (f *fleet) see(r *router) bool {
	r.seen = f.store.position.Era
	return r.tracker.See(r.seen, r.list, start.Add(f.now))
}

// replace replaces the list of a router.
func (r *router) replace(to storehistory.Position, entries map[string]int64) {
	if r.list.IsZero() {
		r.log.Reset(to)
	} else if r.list.Before(to) {
		r.log.Skip(storehistory.Gap{From: r.list, To: to})
	}
	for key, value := range entries {
		if r.entries[key] != value {
			r.log.Append(to, write{to, key, value})
		}
	}
	for key := range r.entries {
		if _, ok := entries[key]; !ok {
			r.log.Append(to, write{to, key, 0})
		}
	}
	r.list, r.entries = to, maps.Clone(entries)
}

// apply applies changes to the list of a router.
func (r *router) apply(to storehistory.Position, changes []write) {
	had := r.list
	r.log.Advance(to)
	for _, w := range changes {
		if !had.Before(w.at) {
			continue
		}
		r.log.Append(w.at, w)
		if w.to == 0 {
			delete(r.entries, w.key)
		} else {
			r.entries[w.key] = w.to
		}
	}
	r.list = storehistory.Later(r.list, to)
}

// send sends a router's state to its current targets.
func (f *fleet) send(r *router) {
	targets := f.routers
	if r.role == storereader.Idle || start.Add(f.now).Sub(r.state.ReachedAt) > answerFresh {
		targets = nil
		for range f.plan.FanOut {
			targets = append(targets, f.routers[f.random.IntN(len(f.routers))])
		}
		for reader := range f.readers {
			if reader.list.Era < max(r.list.Era, r.seen) {
				targets = append(targets, reader)
			}
		}
	}
	for _, p := range targets {
		if p != r {
			f.messages = append(f.messages, message{from: r, to: p, arrives: f.now + networkDelay, list: r.list, era: max(r.list.Era, r.seen), version: r.version})
		}
	}
}

// receive lets a router handle a peer's message.
func (f *fleet) receive(m message) {
	r := m.to
	if r.tracker.Hear(m.era, r.list) && r.role != storereader.Idle {
		r.watching, r.nextCall = false, f.now
	}
	changed := m.version > r.version
	r.version = max(r.version, m.version)
	reads := r.role == storereader.Primary && start.Add(f.now).Sub(r.state.ReachedAt) <= answerFresh
	if r.list.Before(m.from.list) && !reads {
		if changes, gap, complete := m.from.log.Since(r.list); complete {
			if r.list.Before(gap.To) {
				r.log.Skip(gap)
			}
			r.apply(m.from.list, changes)
		} else {
			r.replace(m.from.list, m.from.entries)
		}
		changed = true
	}
	if changed {
		f.send(r)
	}
}
