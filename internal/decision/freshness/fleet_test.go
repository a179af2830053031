package freshness_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"wisteriafield/internal/decision/dissemination"
	"wisteriafield/internal/decision/freshness"
	"wisteriafield/internal/decision/storehistory"
	"wisteriafield/internal/decision/storereader"
)

const (
	step           = 50 * time.Millisecond
	roleInterval   = 200 * time.Millisecond
	watchTime      = time.Second
	retryDelay     = time.Second
	batchDelay     = 300 * time.Millisecond
	secondaryDelay = time.Second
	announceFresh  = 1300 * time.Millisecond
	lossRate       = 0.01
	settleTime     = 5 * time.Second
)

// links says which messages, and which fetches of the configuration and of the server list,
// pass from one router to another.
type links func(from, to int, at time.Duration) (messages, config, list bool)

type view struct {
	heardAt, directAt, reachedAt time.Time // of a peer; heardAt may be relayed
	reads, failing               bool
}

type router struct {
	index    int
	name     string
	elector  *storereader.Elector
	tracker  freshness.Tracker
	version  int64
	list     storehistory.Position
	reached  time.Time
	role     storereader.Role
	failing  bool
	views    []view
	nextRole time.Time // or the end of a pause after changes
	watchEnd time.Time // zero if no watch is in progress
	nextSend time.Time

	firstTryDelay time.Duration
}

type message struct {
	from, to       *router
	state          freshness.State
	reached        time.Time
	reads, failing bool
	relayed        []int
}

// fleet is a fleet of routers before a store.
type fleet struct {
	routers  []*router
	links    links
	reaching map[int]bool // routers that reach the store after settleTime; nil if all do
	plan     dissemination.Plan
	random   *rand.Rand
	change   time.Duration // bound of a change
	version  int64         // of the store's configuration
	revision int64
	messages []message
	now      time.Time
	calls    int
}

func newFleet(n int, change time.Duration, l links) *fleet {
	f := &fleet{links: l, plan: dissemination.NewPlan(n - 1), random: rand.New(rand.NewPCG(7, uint64(n))), change: change, version: 1, revision: 1, now: now}
	delays := rand.New(rand.NewPCG(17, uint64(n)))
	for i := range n {
		r := &router{firstTryDelay: freshness.FirstTryDelay(change, delays.Float64()), index: i, name: fmt.Sprintf("router-%d", i), elector: storereader.NewElector(f.random.Float64), version: 1, list: at(1), role: storereader.Idle, reached: now, views: make([]view, n)}
		r.tracker.Read(at(1), now)
		for j := range r.views {
			r.views[j] = view{heardAt: now, directAt: now, reachedAt: now}
		}
		r.nextRole = now.Add(time.Duration(f.random.Int64N(int64(roleInterval))))
		r.nextSend = now.Add(time.Duration(f.random.Int64N(int64(f.plan.IdleInterval))))
		f.routers = append(f.routers, r)
	}
	return f
}

// isCutOff reports whether a router does not reach the store.
func (f *fleet) isCutOff(r *router) bool {
	return f.reaching != nil && !f.reaching[r.index] && f.now.Sub(now) > settleTime
}

// advance plays one step.
func (f *fleet) advance() {
	f.now = f.now.Add(step)
	due := f.messages
	f.messages = nil
	for _, m := range due {
		f.receive(m)
	}
	for _, r := range f.routers {
		switch {
		case !r.watchEnd.IsZero():
			if r.list.Revision < f.revision || r.tracker.ConfigAt().Revision < f.revision || !f.now.Before(r.watchEnd) {
				f.answer(r)
			}
		case !f.now.Before(r.nextRole):
			f.decide(r)
		}
		if !f.now.Before(r.nextSend) {
			f.send(r)
		}
	}
}

func (f *fleet) decide(r *router) {
	r.nextRole = f.now.Add(roleInterval)
	var peers []storereader.Router
	for j, v := range r.views {
		if j != r.index && f.now.Sub(v.heardAt) < f.plan.PeerTimeout {
			peers = append(peers, storereader.Router{Name: f.routers[j].name, ReadsStore: v.reads, Failing: v.failing, ReachedAt: v.reachedAt, HeardAt: v.directAt})
		}
	}
	d := r.elector.Decide(storereader.Router{Name: r.name, ReadsStore: r.role != storereader.Idle, Failing: r.failing, ReachedAt: r.reached}, peers, f.now)
	wasIdle := r.role == storereader.Idle
	r.role = d.Role
	due := f.now
	if r.elector.FirstTryDue() {
		due = due.Add(-r.firstTryDelay)
	}
	if r.role == storereader.Idle && !r.elector.TakingTurns() && r.tracker.Overdue(f.change, due) {
		r.role = storereader.Trial
	}
	if r.role == storereader.Idle {
		return
	}
	f.calls++
	r.failing = f.isCutOff(r)
	if r.failing {
		r.nextRole = f.now.Add(retryDelay/2 + time.Duration(f.random.Int64N(int64(retryDelay))))
		return
	}
	r.watchEnd = f.now.Add(watchTime)
	if wasIdle {
		r.watchEnd = f.now.Add(step)
	}
}

// answer gives a router the store's answer to its watch.
func (f *fleet) answer(r *router) {
	changed := r.list.Revision < f.revision || r.version < f.version
	r.watchEnd, r.reached, r.nextRole = time.Time{}, f.now, f.now
	r.version, r.list = f.version, at(f.revision)
	r.tracker.Read(r.list, f.now)
	if changed {
		r.nextRole = f.now.Add(batchDelay)
		if r.role == storereader.Secondary {
			r.nextRole = f.now.Add(secondaryDelay)
		}
	}
	f.send(r)
}

func (f *fleet) send(r *router) {
	r.nextSend = f.now.Add(f.plan.IdleInterval)
	targets := f.random.Perm(len(f.routers))
	announces := r.role != storereader.Idle && f.now.Sub(r.reached) <= announceFresh
	if !announces {
		targets = targets[:min(len(targets), f.plan.FanOut+1)]
	}
	var relayed []int
	if !announces {
		relayed = f.random.Perm(len(f.routers))[:min(len(f.routers), f.plan.RelayedHeartbeats)]
	}
	state := freshness.State{Version: r.version, List: r.list, ConfigAt: r.tracker.ConfigAt(), ConfirmedAt: r.tracker.ConfirmedAt()}
	for _, i := range targets {
		if i != r.index && f.random.Float64() >= lossRate {
			f.messages = append(f.messages, message{from: r, to: f.routers[i], state: state, reached: r.reached, reads: r.role != storereader.Idle, failing: r.failing, relayed: relayed})
		}
	}
}

func (f *fleet) receive(m message) {
	r := m.to
	messages, config, list := f.links(m.from.index, r.index, f.now.Sub(now))
	if !messages {
		return
	}
	r.views[m.from.index] = view{heardAt: f.now, directAt: f.now, reachedAt: m.reached, reads: m.reads, failing: m.failing}
	for _, j := range m.relayed {
		if v := &r.views[j]; m.from.views[j].heardAt.After(v.heardAt) {
			v.heardAt = m.from.views[j].heardAt
		}
	}
	changed := config && m.from.version > r.version || list && r.list.Before(m.from.list)
	if config {
		r.version = max(r.version, m.from.version)
	}
	if list {
		r.list = storehistory.Later(r.list, m.from.list)
	}
	r.tracker.Hear(m.state, r.version, r.list)
	if changed {
		f.send(r)
	}
}

// play plays a storm of changes and returns the longest time until a router that reaches the
// store had one.
func (f *fleet) play(t *testing.T, last time.Duration) (worst time.Duration) {
	type change struct {
		at                time.Time
		version, revision int64
	}
	var pending []change
	nextChange := now.Add(settleTime)
	for end := now.Add(last); f.now.Before(end); {
		f.advance()
		for len(pending) > 0 {
			c := pending[0]
			missing := 0
			for _, r := range f.routers {
				if !f.isCutOff(r) && (r.version < c.version || r.list.Revision < c.revision) {
					missing++
				}
			}
			worst = max(worst, f.now.Sub(c.at))
			if missing > 0 {
				break
			}
			pending = pending[1:]
		}
		if !f.now.Before(nextChange) {
			f.revision++
			if f.random.IntN(2) == 0 {
				f.version++
			}
			pending = append(pending, change{f.now, f.version, f.revision})
			nextChange = f.now.Add(step + time.Duration(f.random.Int64N(int64(time.Second))))
		}
	}
	t.Logf("%d routers: in effect everywhere after %s at most, %.2f calls a router and second", len(f.routers), worst, float64(f.calls)/float64(len(f.routers))/last.Seconds())
	return worst
}
