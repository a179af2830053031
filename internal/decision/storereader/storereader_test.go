package storereader_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"wisteriafield/internal/decision/storereader"
)

var now = time.Unix(1_000, 0)

func fleet(n int, age time.Duration) []storereader.Router {
	var all []storereader.Router
	for i := range n {
		all = append(all, storereader.Router{Name: fmt.Sprintf("router-%d", i), ReachedAt: now.Add(-age), HeardAt: now})
	}
	return all
}

// decide returns the decision of router i if it knows all others.
func decide(all []storereader.Router, i int) storereader.Decision {
	peers := append(append([]storereader.Router{}, all[:i]...), all[i+1:]...)
	return storereader.NewElector(func() float64 { return 0.5 }).Decide(all[i], peers, now)
}

// storeReaders returns the names of the routers that have a role.
func storeReaders(all []storereader.Router) []string {
	var names []string
	for i := range all {
		if decide(all, i).Role != storereader.Idle {
			names = append(names, all[i].Name)
		}
	}
	return names
}

func TestTwoRoutersReadAtEveryFleetSize(t *testing.T) {
	g := NewWithT(t)
	for _, n := range []int{2, 6, 76, 345} {
		g.Expect(storeReaders(fleet(n, 500*time.Millisecond))).To(HaveLen(2))
	}
	g.Expect(storeReaders(fleet(1, 500*time.Millisecond))).To(HaveLen(1))
}

func TestTheTwoReadersAreAPrimaryAndASecondaryOnFastLinks(t *testing.T) {
	g := NewWithT(t)
	all := fleet(76, 500*time.Millisecond)
	for i := range all {
		all[i].LinkRate = 10
		if i%10 == 0 {
			all[i].LinkRate = 200
		}
	}
	counts := make(map[storereader.Role]int)
	for i := range all {
		role := decide(all, i).Role
		counts[role]++
		if role != storereader.Idle {
			g.Expect(all[i].LinkRate).To(Equal(200.0))
		}
	}
	g.Expect(counts).To(Equal(map[storereader.Role]int{storereader.Primary: 1, storereader.Secondary: 1, storereader.Idle: 74}))
}

func TestOthersReplaceReadersThatTheStoreRefuses(t *testing.T) {
	g := NewWithT(t)
	all := fleet(6, 500*time.Millisecond)
	initial := storeReaders(all)
	for i := range all {
		if all[i].Name == initial[0] || all[i].Name == initial[1] {
			all[i].ReadsStore, all[i].ReachedAt = true, now.Add(-3*time.Second)
		}
	}
	var replacements []string
	for _, name := range storeReaders(all) {
		if name != initial[0] && name != initial[1] {
			replacements = append(replacements, name)
		}
	}
	g.Expect(replacements).To(HaveLen(2))
}

func TestARouterThatHearsNoPeerReadsForItself(t *testing.T) {
	g := NewWithT(t)
	self := storereader.Router{Name: "alone", ReachedAt: now.Add(-3 * time.Second)}
	g.Expect(storereader.NewElector(nil).Decide(self, nil, now)).To(Equal(storereader.Decision{Role: storereader.Primary, Outage: true}))
	all := fleet(30, 3*time.Second)
	g.Expect(decide(all, 17).Role).To(Equal(storereader.Idle))
	for i := range all {
		all[i].HeardAt = now.Add(-2 * time.Second)
	}
	g.Expect(decide(all, 17).Role).To(Equal(storereader.Primary))
}

func TestTheFirstRouterWithAnAnswerKeepsReadingUntilAnotherDoes(t *testing.T) {
	g := NewWithT(t)
	all := fleet(30, 3*time.Second)
	idle := 0
	for decide(all, idle).Role != storereader.Idle {
		idle++
	}
	self := all[idle]
	peers := append(append([]storereader.Router{}, all[:idle]...), all[idle+1:]...)
	e := storereader.NewElector(func() float64 { return 0 })
	g.Expect(e.Decide(self, peers, now)).To(Equal(storereader.Decision{Role: storereader.Trial, Outage: true}))
	self.ReachedAt = now
	g.Expect(e.Decide(self, peers, now).Role).To(Equal(storereader.Primary))
	g.Expect(e.Decide(self, peers, now).Role).To(Equal(storereader.Primary))
	peers[3].ReadsStore, peers[3].ReachedAt = true, now
	g.Expect(e.Decide(self, peers, now).Role).To(Equal(storereader.Idle))
	peers[3].ReadsStore = false
	g.Expect(e.Decide(self, peers, now).Role).To(Equal(storereader.Idle), "no outage came before")
}

// A reader that is refused says so, and the next in rank reads before the store counts as
// unreachable (a configuration was late by 60 ms in a hunt on Zemevlaga).
func TestAFailingReaderIsReplacedAtOnce(t *testing.T) {
	g := NewWithT(t)
	all := fleet(6, 500*time.Millisecond)
	initial := storeReaders(all)
	for i := range all {
		if all[i].Name == initial[0] || all[i].Name == initial[1] {
			all[i].ReadsStore, all[i].Failing = true, true
		}
	}
	g.Expect(storeReaders(all)).To(HaveLen(4), "the failing ones go on, and two others read")
}

// simulation is a fleet before a store that answers the routers that reachable allows.
type simulation struct {
	routers   []simulatedRouter
	known     []storereader.Router // what all peers know, as of the last messages
	reachable func(router int, at time.Duration) bool
	calls     map[int]int // by second
	lastNews  time.Duration
	maxAge    time.Duration // of the newest answer that is known to all
}

type simulatedRouter struct {
	elector  *storereader.Elector
	state    storereader.Router
	nextStep time.Duration
	delay    time.Duration
}

const (
	simulationStep  = 50 * time.Millisecond
	messageDelay    = 600 * time.Millisecond // until all know of an answer
	roleCheck       = 200 * time.Millisecond
	answerTime      = time.Second // of a watch without changes
	maxDelay        = time.Second
	maxRefusedDelay = 4 * time.Second // while other routers reach the store
)

// simulate plays a fleet of n for some time.
func simulate(n int, last time.Duration, reachable func(router int, at time.Duration) bool) *simulation {
	random := rand.New(rand.NewPCG(7, uint64(n)))
	s := &simulation{reachable: reachable, calls: make(map[int]int)}
	for i := range n {
		state := storereader.Router{Name: fmt.Sprintf("router-%d", i), ReachedAt: now, HeardAt: now}
		s.routers = append(s.routers, simulatedRouter{elector: storereader.NewElector(random.Float64), state: state, nextStep: time.Duration(random.Int64N(int64(roleCheck))), delay: maxDelay})
		s.known = append(s.known, state)
	}
	for at := time.Duration(0); at < last; at += simulationStep {
		if at-s.lastNews >= messageDelay {
			s.lastNews = at
			newest := time.Duration(0)
			for i := range s.routers {
				s.known[i] = s.routers[i].state
				s.known[i].HeardAt = now.Add(at)
				newest = max(newest, s.known[i].ReachedAt.Sub(now))
			}
			s.maxAge = max(s.maxAge, at-newest)
		}
		for i := range s.routers {
			if at >= s.routers[i].nextStep {
				s.step(i, at)
			}
		}
	}
	return s
}

// step lets a router decide, and call the store if it has a role.
func (s *simulation) step(i int, at time.Duration) {
	r := &s.routers[i]
	// The router's own entry among the known ones is replaced, so that it is no peer.
	own := s.known[i]
	s.known[i] = s.known[len(s.known)-1]
	d := r.elector.Decide(r.state, s.known[:len(s.known)-1], now.Add(at))
	s.known[i] = own
	r.state.ReadsStore = d.Role != storereader.Idle
	if d.Role == storereader.Idle {
		r.state.Failing = false
		r.nextStep = at + roleCheck
		return
	}
	s.calls[int(at/time.Second)]++
	if s.reachable(i, at) {
		r.state.ReachedAt, r.state.Failing, r.delay = now.Add(at), false, maxDelay
		r.nextStep = at + answerTime
		return
	}
	r.state.Failing = true
	r.nextStep = at + r.delay
	r.delay = min(2*r.delay, maxDelay)
	if !d.Outage {
		r.delay = min(2*r.delay, maxRefusedDelay)
	}
}

// An outage of the store once made each router call it every second, and send its state to
// all others meanwhile (large scenario with an outage alone: twice the calls and the bytes).
func TestCallsDuringAnOutageDoNotGrowWithTheFleet(t *testing.T) {
	g := NewWithT(t)
	const down, up, last = 5, 13, 18
	for _, n := range []int{6, 76, 195, 1000} {
		s := simulate(n, last*time.Second, func(_ int, at time.Duration) bool {
			return at < down*time.Second || at >= up*time.Second
		})
		worst, total := 0, 0
		for second := down; second < last; second++ {
			worst, total = max(worst, s.calls[second]), total+s.calls[second]
		}
		t.Logf("%d routers: %d calls in %d s, %d in the worst second", n, total, last-down, worst)
		g.Expect(worst).To(BeNumerically("<=", 16+0.05*float64(n)), "%d routers", n)
		g.Expect(s.calls[last-1]).To(BeNumerically("<=", 4), "%d routers: two read again", n)
		for i := range s.routers {
			newest := s.routers[i].state.ReachedAt
			for _, k := range s.known {
				if k.ReachedAt.After(newest) {
					newest = k.ReachedAt
				}
			}
			g.Expect(newest).To(BeTemporally(">", now.Add((up+2)*time.Second)), "%d routers: all know of the return", n)
		}
	}
}

// A store that turns most routers away is found by one of the others in time for the
// configuration to reach all.
func TestAStoreThatServesAFewRoutersIsFound(t *testing.T) {
	g := NewWithT(t)
	const down, last = 5, 15
	for n, maxAge := range map[int]time.Duration{6: 2 * time.Second, 76: 3 * time.Second, 195: 4 * time.Second} {
		// All that have a role before the refusal are refused, and four in five others.
		before := simulate(n, down*time.Second, func(int, time.Duration) bool { return true })
		s := simulate(n, last*time.Second, func(i int, at time.Duration) bool {
			return at < down*time.Second || !before.routers[i].state.ReadsStore && i%5 == 0
		})
		t.Logf("%d routers: newest answer at most %s old, calls %v", n, s.maxAge, s.calls)
		g.Expect(s.maxAge).To(BeNumerically("<", maxAge), "%d routers: a configuration has to be in force by then", n)
		for second := down; second < last; second++ {
			g.Expect(s.calls[second]).To(BeNumerically("<=", 16+0.05*float64(n)), "%d routers", n)
		}
	}
}
