package discovery_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"wisteriafield/internal/decision/freshness"
	"wisteriafield/internal/decision/storereader"
	"wisteriafield/internal/router/discovery"
)

func TestAConfigurationThatAPeersServerListHasPassedOverIsRead(t *testing.T) {
	for _, role := range []storereader.Role{storereader.Primary, storereader.Secondary, storereader.Trial} {
		runFollower(t, func(f *fixture) {
			f.decide(storereader.Decision{Role: storereader.Idle})
			time.Sleep(1200 * time.Millisecond)
			before := f.follower.Position()
			f.store.put("config", "two")
			f.follower.ApplyServerList(before, discovery.ServerList{At: later(before, 1)}, "peer")
			f.follower.ObservePeer(freshness.State{Version: 2, List: later(before, 1), ConfigAt: later(before, 1), ConfirmedAt: time.Now()}, 1)
			f.decide(storereader.Decision{Role: role})
			time.Sleep(time.Second)
			f.Expect(f.currentConfig()).To(Equal("two"), string(role))
			state := f.follower.State()
			f.Expect(state).To(Equal(freshness.State{List: later(before, 1), ConfigAt: later(before, 1), ConfirmedAt: state.ConfirmedAt}))
		})
	}
}

func TestARouterThatPeersNoLongerKeepUpToDateSoonTriesAStoreThatRefusedIt(t *testing.T) {
	runFollower(t, func(f *fixture) {
		f.mu.Lock()
		f.pathOnly = true
		f.mu.Unlock()
		f.store.update(func() { f.store.unreachable = true })
		for start := time.Now(); time.Since(start) < 30*time.Second; time.Sleep(200 * time.Millisecond) {
			own := f.follower.State()
			own.Version, own.ConfirmedAt = 1, time.Now()
			f.follower.ObservePeer(own, 1)
		}
		for range 20 {
			f.store.calls()
			time.Sleep(freshness.MaxAge(2*time.Second) + 1500*time.Millisecond)
			_, watches := f.store.calls()
			f.Expect(watches).To(BeNumerically(">=", 1))
		}
	})
}

// Without a monotonic reading, a step of the wall clock changes the age.
func TestTheAgeOfTheStoresLastAnswerIgnoresStepsOfTheClock(t *testing.T) {
	runFollowerNow(t, func(s *store) { s.put("config", "one") }, func(f *fixture) {
		reached := f.follower.StoreReached()
		f.Expect(reached).NotTo(Equal(reached.Round(0)), "Round(0) drops the monotonic reading")
	})
}
