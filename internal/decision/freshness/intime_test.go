package freshness_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// changeTimes are the users' bounds at sizes of the fleet.
var changeTimes = map[int]time.Duration{6: 2 * time.Second, 8: 2 * time.Second, 36: 2 * time.Second, 79: 3 * time.Second, 195: 4 * time.Second, 1000: 4 * time.Second}

func TestEachRouterThatReachesTheStoreHasAChangeInTimeWhateverHappensBetweenRouters(t *testing.T) {
	cut := func(at time.Duration) bool { return at > settleTime }
	for name, l := range map[string]links{
		"calm":                         func(int, int, time.Duration) (bool, bool, bool) { return true, true, true },
		"configurations can't be sent": func(_, _ int, at time.Duration) (bool, bool, bool) { return true, !cut(at), true },
		"nothing can be fetched":       func(_, _ int, at time.Duration) (bool, bool, bool) { return true, !cut(at), !cut(at) },
		"all cut off":                  func(_, _ int, at time.Duration) (bool, bool, bool) { return !cut(at), !cut(at), !cut(at) },
		"one hears nobody": func(_, to int, at time.Duration) (bool, bool, bool) {
			ok := to != 1 || !cut(at)
			return ok, ok, ok
		},
		"two halves": func(from, to int, at time.Duration) (bool, bool, bool) {
			ok := from%2 == to%2 || !cut(at)
			return ok, ok, ok
		},
		"two cut off together": func(from, to int, at time.Duration) (bool, bool, bool) {
			ok := from < 2 == (to < 2) || !cut(at)
			return ok, ok, ok
		},
		"a third can fetch from itself only": func(from, to int, at time.Duration) (bool, bool, bool) {
			ok := to%3 != 0 || from%3 == 0 || !cut(at)
			return true, ok, ok
		},
	} {
		t.Run(name, func(t *testing.T) {
			sizes := []int{6, 8, 36, 79}
			if name == "nothing can be fetched" {
				sizes = append(sizes, 195, 1000)
			}
			for _, n := range sizes {
				last := settleTime + 8*time.Second
				if n > 79 {
					last = settleTime + 2*time.Second
				}
				worst := newFleet(n, changeTimes[n], l).play(t, last)
				NewWithT(t).Expect(worst).To(BeNumerically("<=", changeTimes[n]), "%d routers", n)
			}
		})
	}
}

// The others do not reach the store, but all hear each other.
func TestTheOnlyRouterThatReachesTheStoreHasAChangeInTime(t *testing.T) {
	for _, n := range []int{6, 8, 36, 79, 195} {
		t.Run(fmt.Sprint(n, " routers"), func(t *testing.T) {
			for seed := range uint64(6) {
				f := newFleet(n, changeTimes[n], func(int, int, time.Duration) (bool, bool, bool) { return true, true, true })
				f.random = rand.New(rand.NewPCG(seed, 5))
				f.reaching = map[int]bool{f.random.IntN(n): true}
				NewWithT(t).Expect(f.play(t, settleTime+8*time.Second)).To(BeNumerically("<=", changeTimes[n]))
			}
		})
	}
}
