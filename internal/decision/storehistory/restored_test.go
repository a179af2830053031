package storehistory_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// scenario is what happens to a fleet and its store.
type scenario struct {
	restores []restore
	starts   time.Duration // when all routers but two restart; 0 for never
	cutFrom  time.Duration // when a third of the routers is cut off
	cutUntil time.Duration
	seenBy   int  // router that sees the new era first, by a call that is no read of the list; -1 for none
	burst    int  // changes at the moment of a restore, which pass the lost revisions
	readers  bool // the readers are cut off, too
	last     time.Duration
}

// restore goes back by lost, after the store was away for down.
type restore struct{ at, lost, down time.Duration }

const (
	lastMoment     = 15 * time.Second // of a scenario that names none
	entryInterval  = 100 * time.Millisecond
	configInterval = 1500 * time.Millisecond
	entryCount     = 10
	// smallFleet is the largest fleet in which a change has to be in effect within two seconds;
	// it has four in a larger one.
	smallFleet = 9
)

// bound returns the time in which a change must be known everywhere.
func bound(n int) time.Duration {
	if n <= smallFleet {
		return 2 * time.Second
	}
	return 4 * time.Second
}

// play plays a scenario with n routers and checks what must hold at each moment.
func play(t *testing.T, n int, s scenario) {
	g := NewWithT(t)
	f := newFleet(n)
	eras := make([]int64, n)
	versions := make([]int64, n)
	connectedSince := make([]time.Duration, n)
	var stableSince time.Duration
	worst := time.Duration(0)
	last := s.last
	if last == 0 {
		last = lastMoment
	}
	for f.now < last {
		f.disturb(s, &stableSince, connectedSince, eras, versions)
		f.write(s)
		f.advance()
		for i, r := range f.routers {
			if r.list.Era < eras[i] || r.version < versions[i] {
				t.Fatalf("%d routers, %s: router %d went back to %v, version %d", n, f.now, i, r.list, r.version)
			}
			eras[i], versions[i] = r.list.Era, r.version
			since := max(stableSince, connectedSince[i])
			if r.cut || f.store.down || f.now-since < bound(n) {
				continue
			}
			for age := step; age <= bound(n); age += step {
				if then := f.store.past[f.now-age]; then.position.Era == f.store.position.Era && !r.list.Before(then.position) {
					worst = max(worst, age)
					break
				}
			}
			then := f.store.past[f.now-bound(n)]
			if r.list.Before(then.position) || r.version < then.version {
				t.Fatalf("%d routers, %s: router %d has %v, version %d, the store had %v, version %d", n, f.now, i, r.list, r.version, then.position, then.version)
			}
		}
	}
	restarted := 0 // each of these reads the store for itself
	if s.starts != 0 {
		restarted = n
	}
	calls, busiest := 0, 0
	for second := 2; second < int(last/time.Second); second++ {
		calls, busiest = calls+f.store.calls[second], max(busiest, f.store.calls[second])
	}
	g.Expect(busiest).To(BeNumerically("<=", 16+0.05*float64(n)+float64(restarted)), "%d routers: calls of the store in a second", n)
	ranges := 0
	for _, at := range f.store.ranges {
		if at > 3*time.Second && (s.starts == 0 || at < s.starts || at > s.starts+3*time.Second) {
			ranges++
		}
	}
	// The two readers, and those that tried the store until they heard that it answers again.
	perRestore := 2 + viewInterval.Seconds()*(8+0.02*float64(n))
	g.Expect(ranges).To(BeNumerically("<=", perRestore*float64(len(s.restores))), "%d routers: reads of the whole store", n)
	for i, r := range f.routers {
		then := f.store.past[f.now]
		for age := time.Duration(0); age <= bound(n) && then.position != r.list; age += step {
			then = f.store.past[f.now-age]
		}
		g.Expect(r.list).To(Equal(then.position))
		g.Expect(r.entries).To(Equal(then.entries), "%d routers: the list of router %d", n, i)
	}
	t.Logf("%d routers: the newest known position was at most %s old, %d calls, %d in the busiest second, %d ranges after the start", n, worst, calls, busiest, ranges)
}

// disturb lets happen what the scenario has for this moment.
func (f *fleet) disturb(s scenario, stableSince *time.Duration, connectedSince []time.Duration, eras, versions []int64) {
	for _, r := range s.restores {
		if f.now == r.at-r.down {
			f.store.down = true
		}
		if f.now == r.at {
			f.store.restore(r.at - r.lost)
			f.store.down, *stableSince = false, f.now
			if s.seenBy >= 0 {
				if first := f.routers[s.seenBy%len(f.routers)]; f.see(first) {
					f.send(first)
				}
			}
			for i := range s.burst {
				f.store.put(fmt.Sprint("burst-", i), int64(f.now))
			}
		}
	}
	if s.starts != 0 && f.now == s.starts {
		for i := 2; i < len(f.routers); i++ {
			delete(f.readers, f.routers[i])
			f.routers[i] = f.newRouter(i)
			f.known[i] = f.routers[i].state
			connectedSince[i], eras[i], versions[i] = f.now, 0, 0
		}
	}
	for i, r := range f.routers {
		cut := f.now >= s.cutFrom && f.now < s.cutUntil && (i%3 == 0 || s.readers && f.known[i].ReadsStore)
		if r.cut && f.now < s.cutUntil {
			cut = true // readers elected meanwhile do not come back
		}
		if r.cut && !cut {
			connectedSince[i] = f.now
		}
		r.cut = cut
	}
}

// write lets the servers and the operator write, and write again what was lost.
func (f *fleet) write(s scenario) {
	if f.store.down {
		return
	}
	if f.now%entryInterval == 0 {
		// A server leaves, or writes again what it may have written before.
		f.store.put(fmt.Sprint("server-", f.random.IntN(entryCount)), f.random.Int64N(3))
	}
	newest := 1 + int64(f.now/configInterval)
	if f.store.version < newest {
		f.store.put("config", newest)
		f.store.version = newest
	}
}

func TestEachChangeOfTheNewHistoryIsKnownEverywhereInTime(t *testing.T) {
	once := []restore{{at: 8 * time.Second, lost: 3 * time.Second, down: time.Second}}
	twice := []restore{{at: 7 * time.Second, lost: 4 * time.Second, down: time.Second}, {at: 11 * time.Second, lost: 2 * time.Second, down: 500 * time.Millisecond}}
	for name, s := range map[string]scenario{
		"once":                          {restores: once, seenBy: -1},
		"without an outage":             {restores: []restore{{at: 8 * time.Second, lost: 3 * time.Second}}, seenBy: -1},
		"back and forth":                {restores: twice, seenBy: -1},
		"seen first by another router":  {restores: once, seenBy: 4},
		"at a start":                    {restores: once, starts: 8 * time.Second, seenBy: -1},
		"before a start":                {restores: once, starts: 10 * time.Second, seenBy: -1},
		"revisions soon pass the old":   {restores: once, burst: 40, seenBy: -1},
		"routers are cut off meanwhile": {restores: once, cutFrom: 5 * time.Second, cutUntil: 11 * time.Second, seenBy: -1},
		"readers are cut off, too":      {restores: twice, cutFrom: 6 * time.Second, cutUntil: 12 * time.Second, readers: true, seenBy: 4},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			for _, n := range []int{6, 76, 195} {
				play(t, n, s)
			}
		})
	}
}

func TestAThousandRoutersFollowAStoreThatIsRestoredTwice(t *testing.T) {
	play(t, 1000, scenario{restores: []restore{
		{at: 4 * time.Second, lost: 2 * time.Second, down: 500 * time.Millisecond},
		{at: 6 * time.Second, lost: time.Second, down: 500 * time.Millisecond},
	}, cutFrom: 3 * time.Second, cutUntil: 5 * time.Second, seenBy: 4, last: 11 * time.Second})
}
