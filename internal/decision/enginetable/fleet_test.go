package enginetable_test

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"wisteriafield/internal/decision/balance"
	"wisteriafield/internal/decision/enginespeed"
	"wisteriafield/internal/decision/enginetable"
)

const (
	step       = 10 * time.Millisecond
	simulated  = 8 * time.Second
	settled    = 2 * time.Second
	decodeTime = 5 * time.Second
	prompt     = 5200
	output     = 700
	loss       = 0.01 // of datagrams
)

// simEngine prefills one prompt after the other and generates beside that.
type simEngine struct {
	key     enginetable.Key
	domain  string
	slow    float64 // times the time of a typical engine
	queue   []*simAttempt
	running int
	doneAt  time.Duration // of the prompt at the head of the queue
	history [51]balance.LoadReport
}

type simAttempt struct {
	id              uint64
	router          int
	placed          time.Duration
	prefilled, over bool
}

// simFleet is a fleet of routers in front of engines, with neither a network nor a clock.
type simFleet struct {
	*rand.Rand
	engines []*simEngine
	names   []string
	view    *enginetable.View
	tables  map[string]*enginetable.Table
	later   map[time.Duration][]func()
	now     time.Duration
	waits   []time.Duration
	probed  int
}

// figures are means over the settled part of a simulation.
type figures struct {
	longest float64 // queue, as a ratio to the mean one
	idle    float64 // share of engines without a prompt for which one waits behind another elsewhere
	wait    time.Duration
	wait99  time.Duration
	probes  float64 // per attempt
}

func newSimFleet(routers int) *simFleet {
	f := &simFleet{Rand: rand.New(rand.NewPCG(uint64(routers), 7)), tables: map[string]*enginetable.Table{}, later: map[time.Duration][]func(){}}
	for i := range min(600, max(18, 2*routers)) {
		f.engines = append(f.engines, &simEngine{key: enginetable.Key{ID: fmt.Sprintf("i-%d", i)}, domain: string(rune('a' + i%3)), slow: []float64{0.6, 1, 1.6}[i/3%3]})
	}
	for i := range routers {
		f.names = append(f.names, fmt.Sprintf("router-%d", i))
	}
	f.view = enginetable.NewView("engines", enginetable.GroupCount(len(f.engines), 0), f.names)
	for _, name := range f.view.Names() {
		f.tables[name] = enginetable.New(func(e balance.Engine, _ enginespeed.Speed, prompt, output int) float64 {
			return balance.EngineCost(e, prompt, output)
		})
	}
	return f
}

func (f *simFleet) at() time.Time { return time.Unix(0, 0).Add(f.now) }

// after runs an event of the future, unless its datagram is lost.
func (f *simFleet) after(d time.Duration, event func()) {
	if f.Float64() >= loss {
		at := (f.now + d).Truncate(step) + step
		f.later[at] = append(f.later[at], event)
	}
}

// age is how old a load is when it is used.
func (f *simFleet) age() time.Duration {
	return 100*time.Millisecond + time.Duration(f.Int64N(int64(400*time.Millisecond)))
}

func (e *simEngine) candidate(router string) balance.Engine {
	return balance.Engine{Domain: e.domain, Capacity: 55000, Pace: time.Duration(33 * e.slow * float64(time.Millisecond)), OtherDomain: e.domain != domainOf(router)}
}

func domainOf(router string) string { return string('a' + rune(router[len(router)-1])%3) }

// probe places an attempt as routers do that ask four random engines.
func (f *simFleet) probe(router int) int {
	all := make([]balance.Engine, len(f.engines))
	for i, e := range f.engines {
		all[i] = e.candidate(f.names[router])
	}
	sample := balance.SampleEngines(all, prompt, output, nil, f.Float64(), 4)
	f.probed += len(sample)
	var sampled []balance.Engine
	for _, i := range sample {
		own := 0
		for _, a := range f.engines[i].queue {
			if a.router == router {
				own++
			}
		}
		all[i].QueuedTokens = own * prompt
		sampled = append(sampled, all[i].WithReport(f.engines[i].history[f.age()/step], prompt))
	}
	return sample[balance.PickEngine(sampled, prompt, output, nil, f.Float64())]
}

// ask places an attempt by the offers of two owners and the router's own table.
func (f *simFleet) ask(router int) int {
	name := f.names[router]
	asked := f.view.Pick(2, func(owner string) bool { return owner == name }, f.Float64)
	if f.tables[name] != nil {
		asked = append(asked, name)
	}
	var offers []enginetable.Offer
	q := enginetable.Question{Number: f.Uint64(), Prompt: prompt, Output: output, Capacity: 55000, Domain: domainOf(name)}
	for _, owner := range asked {
		if owner != name && f.Float64() < loss {
			continue
		}
		made := f.tables[owner].Offer(q, f.candidates(owner), f.at())
		if owner != name && f.Float64() < loss {
			continue
		}
		for _, o := range made {
			o.Owner = owner
			offers = append(offers, o)
		}
	}
	if len(offers) == 0 {
		return f.probe(router)
	}
	o := slices.MinFunc(offers, func(a, b enginetable.Offer) int { return cmp.Compare(a.Cost, b.Cost) })
	f.after(2*time.Millisecond, func() { f.tables[o.Owner].Withdraw(q.Number) })
	return f.index(o.Engine)
}

func (f *simFleet) index(k enginetable.Key) int {
	return slices.IndexFunc(f.engines, func(e *simEngine) bool { return e.key == k })
}

func (f *simFleet) candidates(owner string) []enginetable.Candidate {
	var all []enginetable.Candidate
	for _, e := range f.engines {
		if f.view.Owner(e.key.ID) == owner {
			all = append(all, enginetable.Candidate{Key: e.key, Engine: e.candidate(owner)})
		}
	}
	return all
}

// notify sends the state of an attempt to the engine's owner, and repeats it.
func (f *simFleet) notify(e *simEngine, a *simAttempt, delay time.Duration) {
	prefilled, over, table := a.prefilled, a.over, f.tables[f.view.Owner(e.key.ID)]
	f.after(delay, func() {
		if over {
			table.End(a.id, e.key, f.at())
			return
		}
		state := enginetable.Attempt{ID: a.id, Engine: e.key, PrefillTokens: prompt, UsedTokens: prompt + output}
		if prefilled {
			state.PrefillTokens = 0
		}
		table.Record(state, f.at())
	})
	if !over && delay == 2*time.Millisecond {
		at := f.now + enginetable.RepeatInterval
		f.later[at] = append(f.later[at], func() {
			if !a.over {
				f.notify(e, a, 2*time.Millisecond)
			}
		})
	}
}

// run simulates the fleet with prompts for half of what the engines prefill.
func (f *simFleet) run(place func(router int) int) figures {
	var sum figures
	samples, placed := 0, 0
	capacity := 0.0 // prompts per second
	for _, e := range f.engines {
		capacity += 5000 / (prompt * e.slow)
	}
	due := 0.0
	for ; f.now < simulated; f.now += step {
		for _, event := range f.later[f.now] {
			event()
		}
		delete(f.later, f.now)
		for due += f.ExpFloat64() * capacity / 2 * step.Seconds(); due >= 1; due-- {
			placed++
			router := f.IntN(len(f.names))
			e := f.engines[place(router)]
			a := &simAttempt{id: f.Uint64(), router: router, placed: f.now}
			e.running++
			if e.queue = append(e.queue, a); len(e.queue) == 1 {
				e.doneAt = f.now + e.prefillTime()
			}
			f.notify(e, a, 2*time.Millisecond)
		}
		longest, total, idle, behind := 0, 0, 0, 0
		for _, e := range f.engines {
			f.advance(e)
			longest, total = max(longest, len(e.queue)), total+len(e.queue)
			behind += max(0, len(e.queue)-1)
			if len(e.queue) == 0 {
				idle++
			}
		}
		if f.now >= settled && total > 0 {
			samples++
			sum.longest += float64(longest*len(f.engines)) / float64(total)
			sum.idle += float64(min(idle, behind)) / float64(len(f.engines))
		}
	}
	slices.Sort(f.waits)
	for _, w := range f.waits {
		sum.wait += w / time.Duration(len(f.waits))
	}
	sum.wait99 = f.waits[len(f.waits)*99/100]
	sum.longest, sum.idle, sum.probes = sum.longest/float64(samples), sum.idle/float64(samples), float64(f.probed)/float64(placed)
	return sum
}

func (e *simEngine) prefillTime() time.Duration {
	return time.Duration(float64(prompt) / 5 * e.slow * float64(time.Millisecond))
}

// advance lets an engine work for one step.
func (f *simFleet) advance(e *simEngine) {
	for len(e.queue) > 0 && e.doneAt <= f.now {
		a := e.queue[0]
		e.queue, e.doneAt = e.queue[1:], f.now+e.prefillTime()
		a.prefilled = true
		f.waits = append(f.waits, f.now-a.placed)
		f.notify(e, a, f.age())
		at := (f.now + time.Duration(float64(decodeTime)*e.slow)).Truncate(step)
		f.later[at] = append(f.later[at], func() {
			a.over = true
			e.running--
			f.notify(e, a, f.age())
		})
	}
	copy(e.history[1:], e.history[:])
	e.history[0] = balance.LoadReport{Waiting: len(e.queue), Running: e.running, UsedTokens: e.running * prompt}
}

// Routers that probe pick the same idle engines at the same moment, and prompts wait there while
// other engines are idle. One owner that decides for an engine must not let that happen.
func TestOwnersSpreadPromptsBetterThanProbes(t *testing.T) {
	for _, routers := range []int{6, 36, 69, 195, 1000} {
		t.Run(fmt.Sprint(routers), func(t *testing.T) {
			g := NewWithT(t)
			probing, owners := newSimFleet(routers), newSimFleet(routers)
			before, after := probing.run(probing.probe), owners.run(owners.ask)
			t.Logf("engines %d, groups %d: probes %+v, owners %+v", len(owners.engines), owners.view.Groups(), before, after)
			g.Expect(after.probes).To(BeNumerically("<", 0.1))
			g.Expect(after.wait).To(BeNumerically("<", before.wait))
			g.Expect(after.wait99).To(BeNumerically("<", before.wait99))
			g.Expect(after.longest).To(BeNumerically("<", before.longest))
			g.Expect(after.idle).To(BeNumerically("<", before.idle))
		})
	}
}
