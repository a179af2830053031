package ratelimit_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"wisteriafield/internal/decision/dissemination"
	"wisteriafield/internal/decision/ratelimit"
	"wisteriafield/internal/decision/retrybudget"
)

const (
	step       = 20 * time.Millisecond
	answerTime = 60 * time.Millisecond
	retryTime  = 200 * time.Millisecond
	window     = 4 * time.Second
)

// scenario is a load on a simulated fleet before one service.
type scenario struct {
	routers      int
	seeds        uint64 // plays; fewer of large fleets, which take long
	contact      time.Duration
	servers      int
	limited      int     // servers that name a limit from 5 s to 30 s
	limit        float64 // requests a second
	demand       float64 // requests a second at all routers
	restartEvery time.Duration
}

type arrival struct {
	at     time.Time
	router int
}

// fleet is a simulated fleet.
type fleet struct {
	scenario
	rand *rand.Rand
	plan dissemination.Plan

	routerNames []string
	tables      []*ratelimit.Table
	startedAt   []time.Time
	budgets     []*retrybudget.Budget  // count the requests of each router
	toldAt      []map[string]time.Time // when a router first passed on a server's limit
	arrivals    map[string][]arrival
	events      []event
	served      [3]int // before, during and after the limit
	asked       [3]int
}

type event struct {
	at  time.Time
	run func(now time.Time)
}

func (f *fleet) after(now time.Time, d time.Duration, run func(time.Time)) {
	f.events = append(f.events, event{now.Add(d), run})
}

func (f *fleet) newTable(i int, now time.Time) *ratelimit.Table {
	return ratelimit.New(ratelimit.Config{
		Self: f.routerNames[i], ContactTime: f.contact,
		Demand: func(_ string, now time.Time) float64 { return f.budgets[i].Demand("desk", now) },
		Peers: func(now time.Time) []string {
			// A router learns of its peers after its start, and misses one now and then.
			var peers []string
			for j := range f.routers {
				if j != i && (now.Sub(f.startedAt[i]) > f.contact || f.rand.IntN(2) == 0) && f.rand.IntN(50) > 0 {
					peers = append(peers, f.routerNames[j])
				}
			}
			return peers
		},
	}, now)
}

func newBudget(n int, now time.Time) *retrybudget.Budget {
	return retrybudget.New(retrybudget.Config{Window: 10 * time.Second, Routers: func() int { return n }}, now)
}

func (f *fleet) names(server int, now time.Time) bool {
	return server < f.limited && !now.Before(at(5)) && now.Before(at(30))
}

func phase(now time.Time) int {
	switch {
	case now.Before(at(5)):
		return 0
	case now.Before(at(30)):
		return 1
	}
	return 2
}

// request sends a request to a server that may get one. If there is none, the caller comes
// back once, at another router.
func (f *fleet) request(now time.Time, router int, again bool) {
	if !again {
		f.asked[phase(now)]++
	}
	f.budgets[router].RecordFirstAttempt("desk", now)
	table := f.tables[router]
	for _, k := range f.rand.Perm(f.servers) {
		server := fmt.Sprintf("e%d", k)
		if !table.Take(server, "desk", now) {
			continue
		}
		f.served[phase(now)]++
		f.arrivals[server] = append(f.arrivals[server], arrival{now, router})
		f.after(now, answerTime, func(answeredAt time.Time) {
			limited := f.names(k, answeredAt)
			if limited {
				if _, ok := f.toldAt[router][server]; !ok {
					f.toldAt[router][server] = answeredAt
				}
			}
			f.tables[router].ObserveAnswer(server, f.limit, limited, now, answeredAt)
		})
		return
	}
	if !again {
		f.after(now, retryTime, func(now time.Time) { f.request(now, f.rand.IntN(f.routers), true) })
	}
}

// exchange sends a router's news to peers. One message in twenty is lost, and one is late.
func (f *fleet) exchange(now time.Time, from, round int) {
	limits, counts := f.tables[from].Report(16, round%8 == 1, now), f.budgets[from].OwnCounts(now)
	for range min(f.plan.FanOut, f.routers-1) {
		to, delay := f.rand.IntN(f.routers), step
		switch chance := f.rand.Float64(); {
		case chance < 0.05:
			continue
		case chance < 0.1:
			delay = 4 * time.Second
		}
		f.after(now, delay, func(now time.Time) {
			f.tables[to].Merge(limits, now)
			f.budgets[to].MergePeerCounts(counts, now)
		})
	}
}

// play runs the scenario for 45 s.
func (s scenario) play(seed uint64) *fleet {
	f := &fleet{scenario: s, rand: rand.New(rand.NewPCG(seed, uint64(s.routers))), plan: dissemination.NewPlan(s.routers - 1), arrivals: make(map[string][]arrival)}
	for i := range s.routers {
		f.routerNames = append(f.routerNames, fmt.Sprintf("router-%d", i))
	}
	due := make([]time.Time, s.routers)
	for i := range s.routers {
		f.startedAt = append(f.startedAt, start.Add(-time.Minute))
		f.budgets = append(f.budgets, newBudget(s.routers, start))
		f.tables = append(f.tables, f.newTable(i, start.Add(-time.Minute)))
		f.toldAt = append(f.toldAt, make(map[string]time.Time))
		due[i] = start.Add(time.Duration(f.rand.Int64N(int64(f.plan.IdleInterval))))
	}
	rounds := make([]int, s.routers)
	requests := 0.0
	for now := start; now.Before(at(45)); now = now.Add(step) {
		pending := f.events
		f.events = nil
		for _, e := range pending {
			if e.at.After(now) {
				f.events = append(f.events, e)
				continue
			}
			e.run(now)
		}
		// The square makes some routers much busier than others.
		for requests += s.demand * step.Seconds() * 2 * f.rand.Float64(); requests >= 1; requests-- {
			f.request(now, int(float64(s.routers)*f.rand.Float64()*f.rand.Float64()), false)
		}
		if s.restartEvery > 0 && now.Sub(start)%s.restartEvery == 0 {
			i := f.rand.IntN(s.routers)
			f.startedAt[i], f.budgets[i] = now, newBudget(s.routers, now)
			f.tables[i], f.toldAt[i] = f.newTable(i, now), make(map[string]time.Time)
		}
		for i := range due {
			if !now.Before(due[i]) {
				due[i] = now.Add(f.plan.IdleInterval)
				rounds[i]++
				f.exchange(now, i, rounds[i])
			}
		}
	}
	return f
}

// worst returns the largest number of requests in a window of 4 s that a limited server got
// from routers that it had told.
func (f *fleet) worst() int {
	worst := 0
	for k := range f.limited {
		server := fmt.Sprintf("e%d", k)
		var counted []time.Time
		for _, a := range f.arrivals[server] {
			told, ok := f.toldAt[a.router][server]
			if ok && a.at.Sub(told) >= 500*time.Millisecond && a.at.After(at(5).Add(f.contact)) && a.at.Before(at(30)) {
				counted = append(counted, a.at)
			}
		}
		for i, j := 0, 0; j < len(counted); j++ {
			for counted[j].Sub(counted[i]) > window {
				i++
			}
			worst = max(worst, j-i+1)
		}
	}
	return worst
}

// Each router that knew a limit once took no notice of it.
func TestFleetKeepsToTheLimitThatAServerNames(t *testing.T) {
	for _, size := range []scenario{
		{routers: 6, seeds: 4, contact: 3 * time.Second, servers: 4, demand: 18},
		{routers: 76, seeds: 2, contact: 4 * time.Second, servers: 6, demand: 80},
		{routers: 195, seeds: 1, contact: 5 * time.Second, servers: 6, demand: 115},
		{routers: 1000, seeds: 1, contact: 5 * time.Second, servers: 30, demand: 600},
	} {
		for _, fraction := range []float64{0.02, 0.15, 0.5, 0.8} {
			if size.routers == 1000 && fraction != 0.5 {
				continue
			}
			for _, all := range []bool{false, true} {
				s := size
				s.limit, s.limited, s.restartEvery = fraction*s.demand/float64(s.servers), s.servers, time.Second*time.Duration(1+24/s.routers)
				if !all {
					s.limited = s.servers / 2
				}
				t.Run(fmt.Sprintf("%d routers, %d of %d servers at %.2g a second", s.routers, s.limited, s.servers, s.limit), func(t *testing.T) {
					t.Parallel()
					g := NewWithT(t)
					for seed := range s.seeds {
						f := s.play(seed)
						allowed := int(1.5*s.limit*window.Seconds()) + 5
						t.Logf("seed %d: %d of %d allowed; served %v of %v", seed, f.worst(), allowed, f.served, f.asked)
						g.Expect(f.worst()).To(BeNumerically("<=", allowed), "seed %d", seed)
						g.Expect(f.served[0]).To(Equal(f.asked[0]), "before the limit")
						if !all {
							g.Expect(f.served[1]).To(Equal(f.asked[1]), "others have no limit")
						} else {
							g.Expect(float64(f.served[1])).To(BeNumerically(">=", 0.6*25*s.limit*float64(s.servers)), "the limits are used")
						}
						g.Expect(float64(f.served[2])).To(BeNumerically(">=", 0.6*float64(f.asked[2])), "after the limit")
					}
				})
			}
		}
	}
}
