package discovery_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"wisteriafield/internal/decision/storehistory"
	"wisteriafield/internal/decision/storereader"
	"wisteriafield/internal/router/discovery"
	"wisteriafield/platform/kv"
)

// maxChangeTime is the time within which a change must take effect.
const maxChangeTime = 2 * time.Second

// loseHistory makes n changes that the store loses when it is restored at once.
func (f *fixture) loseHistory(n int) {
	f.store.copy()
	for i := range n {
		f.store.put("servers/lost", fmt.Sprintf("ready %d", i))
	}
	time.Sleep(maxChangeTime)
	f.store.restore()
}

func TestChangesAtRevisionsThatTheStoreGivesOutAgainAreRead(t *testing.T) {
	runFollower(t, func(f *fixture) {
		f.loseHistory(20)
		f.store.put("servers/c", "ready")
		f.store.put("servers/a", "leaving")
		time.Sleep(maxChangeTime)
		f.Expect(f.activeServers()).To(ContainElements("b", "c"))
		f.Expect(f.activeServers()).NotTo(ContainElement("a"))
		f.store.put("servers/d", "ready")
		f.store.remove("servers/b")
		time.Sleep(maxChangeTime + 2*time.Second)
		f.Expect(f.activeServers()).To(ConsistOf("c", "d"), "the lost entry is gone too")
	})
}

func TestAConfigurationAtARevisionThatTheStoreGivesOutAgainTakesEffect(t *testing.T) {
	const lost = 20
	for rewritten := range lost {
		// The change may come at any moment between two calls.
		for delay := range 2 * roundTrip / time.Millisecond {
			runFollower(t, func(f *fixture) {
				f.loseHistory(lost)
				time.Sleep(maxChangeTime + delay*time.Millisecond)
				for i := range rewritten {
					f.store.put("servers/c", fmt.Sprintf("ready %d", i))
				}
				f.store.put("config", "two")
				time.Sleep(maxChangeTime)
				f.Expect(f.currentConfig()).To(Equal("two"), "%d changes before it", rewritten)
			})
		}
	}
}

func TestAConfigurationIsReadWhereNewRevisionsPassedTheLostOnes(t *testing.T) {
	runFollower(t, func(f *fixture) {
		f.store.copy()
		f.store.put("servers/lost", "ready")
		time.Sleep(100 * time.Millisecond) // the follower has read it and pauses
		f.store.restore()
		f.store.put("config", "two")
		for i := range 5 {
			f.store.put("servers/c", fmt.Sprintf("ready %d", i))
		}
		time.Sleep(maxChangeTime)
		f.Expect(f.currentConfig()).To(Equal("two"))
	})
}

func TestAStoreThatIsRestoredTwiceIsFollowed(t *testing.T) {
	runFollower(t, func(f *fixture) {
		f.loseHistory(20)
		f.store.put("config", "two")
		time.Sleep(maxChangeTime)
		f.store.restore()
		f.store.put("servers/c", "ready")
		f.store.put("config", "three")
		time.Sleep(maxChangeTime)
		f.Expect(f.currentConfig()).To(Equal("three"))
		f.Expect(f.activeServers()).To(ContainElements("a", "b", "c"))
	})
}

func TestARestoreCostsOneRangeAndNoMoreWatchesThanUsual(t *testing.T) {
	runFollower(t, func(f *fixture) {
		f.loseHistory(20)
		f.store.calls()
		time.Sleep(5 * time.Second)
		ranges, watches := f.store.calls()
		f.Expect(ranges).To(Equal(1))
		f.Expect(watches).To(BeNumerically("<=", 13), "some come sooner while entries are kept")
	})
}

// The follower once called a store that refused every watch without any pause.
func TestCallsAreBoundedWhileAllWatchesAreRefused(t *testing.T) {
	runFollower(t, func(f *fixture) {
		f.store.update(func() { f.store.oldest = 1 << 40 })
		time.Sleep(time.Second)
		f.store.calls()
		const seconds = 10
		time.Sleep(seconds * time.Second)
		ranges, watches := f.store.calls()
		f.Expect(ranges + watches).To(BeNumerically("<=", 3*seconds))
		f.store.put("config", "two")
		time.Sleep(maxChangeTime)
		f.Expect(f.currentConfig()).To(Equal("two"))
	})
}

// A router that starts after the restore knows only the new history.
func TestAFollowerThatStartsAfterARestoreReadsTheNewHistory(t *testing.T) {
	runFollowerOf(t, func(s *store) {
		s.put("config", "one")
		s.copy()
		s.put("servers/lost", "ready")
		s.restore()
		s.put("servers/a", "ready")
		s.put("config", "two")
	}, func(f *fixture) {
		f.Expect(f.activeServers()).To(ConsistOf("a"))
		f.Expect(f.currentConfig()).To(Equal("two"))
	})
}

func TestEntriesLostInARestoreAreKeptUntilLiveServersRegisterAgain(t *testing.T) {
	runFollower(t, func(f *fixture) {
		f.store.copy()
		f.store.put("servers/c", "ready")
		f.store.put("servers/d", "ready")
		time.Sleep(maxChangeTime)
		f.store.restore()
		time.Sleep(maxChangeTime)
		f.Expect(f.activeServers()).To(ConsistOf("a", "b", "c", "d"))
		f.store.put("servers/c", "ready")
		time.Sleep(maxChangeTime)
		f.Expect(f.activeServers()).To(ConsistOf("a", "b", "c"), "entries that are still missing are removed")
	})
}

func TestARouterThatDoesNotReadTheStoreKeepsEntriesLostInARestore(t *testing.T) {
	for _, full := range []bool{true, false} {
		runFollower(t, func(f *fixture) {
			f.decide(storereader.Decision{Role: storereader.Idle})
			time.Sleep(maxChangeTime)
			applied := f.follower.Position()
			restored := storehistory.Position{Era: applied.Era + 1, Revision: applied.Revision - 1}
			list := []kv.Value{{Key: "servers/a", Body: []byte("ready"), Era: restored.Era, Revision: 2}}
			if !full {
				list = []kv.Value{{Key: "servers/b", Era: restored.Era, Revision: restored.Revision, Deleted: true}}
			}
			f.follower.ApplyServerList(applied, discovery.ServerList{At: restored, Values: list, Full: full}, "peer")
			f.Expect(f.follower.Position()).To(Equal(restored))
			time.Sleep(1500 * time.Millisecond)
			f.Expect(f.activeServers()).To(ConsistOf("a", "b"))
			time.Sleep(maxChangeTime)
			f.Expect(f.activeServers()).To(ConsistOf("a"))
			f.follower.ApplyServerList(storehistory.Position{}, discovery.ServerList{At: later(applied, 9), Values: nil, Full: true}, "peer of the lost history")
			f.Expect(f.follower.Position()).To(Equal(restored))
		})
	}
}

// A reader that pauses once learned of the restore from its own next call only.
func TestAReaderThatHearsOfANewEraReadsAtOnce(t *testing.T) {
	runFollower(t, func(f *fixture) {
		f.decide(storereader.Decision{Role: storereader.Secondary})
		f.store.copy()
		f.store.put("servers/c", "ready")
		time.Sleep(1200 * time.Millisecond)
		f.store.put("servers/d", "ready")
		time.Sleep(100 * time.Millisecond) // the follower has read it and pauses
		f.store.restore()
		f.store.put("config", "two")
		f.follower.ObserveEra(2)
		time.Sleep(100 * time.Millisecond)
		f.Expect(f.currentConfig()).To(Equal("two"))
		f.store.calls()
		f.follower.ObserveEra(9)
		time.Sleep(10 * time.Second)
		ranges, watches := f.store.calls()
		f.Expect(ranges).To(Equal(1), "an era that does not exist costs one call")
		f.Expect(watches).To(BeNumerically("<=", 13), "some come sooner while entries are kept")
	})
}

func TestARouterThatSeesANewEraTellsItsPeersAndReadsIfNoReaderDoes(t *testing.T) {
	runFollower(t, func(f *fixture) {
		f.decide(storereader.Decision{Role: storereader.Idle})
		time.Sleep(maxChangeTime)
		f.store.copy()
		f.store.restore()
		f.store.put("config", "two")
		changes := f.changes.Load()
		f.store.calls()
		f.store.update(func() { f.store.seenEra = f.store.era }) // by another call
		time.Sleep(500 * time.Millisecond)
		f.Expect(f.changes.Load()).To(Equal(changes + 1))
		ranges, _ := f.store.calls()
		f.Expect(ranges).To(BeZero())
		time.Sleep(1500 * time.Millisecond)
		f.Expect(f.currentConfig()).To(Equal("two"))
		ranges, watches := f.store.calls()
		f.Expect(ranges).To(Equal(1))
		f.Expect(watches).To(BeZero())
	})
}

// The entry is no difference of the lists before and after the restore.
func TestAPeerInTheNewHistoryGetsAnEntryThatWasLostAndWrittenAgain(t *testing.T) {
	runFollower(t, func(f *fixture) {
		f.store.copy()
		f.store.put("servers/c", "ready")
		time.Sleep(100 * time.Millisecond) // the follower has read it and pauses
		before := f.follower.Position()
		f.store.restore()
		f.store.put("servers/d", "ready")
		peer := storehistory.Position{Era: f.store.era, Revision: f.store.revision}
		f.store.put("servers/c", "ready")
		time.Sleep(time.Second)
		f.Expect(f.activeServers()).To(ConsistOf("a", "b", "c", "d"))
		f.Expect(f.follower.ServerList(peer).Full).To(BeTrue())
		list := f.follower.ServerList(before)
		f.Expect(list.Full).To(BeFalse(), "this one needs the differences only")
		f.Expect(list.Gap.Contains(peer)).To(BeTrue())
	})
}

func TestEntriesLostInARestoreAreKeptAnewWhenTheStoreIsRestoredAgain(t *testing.T) {
	runFollower(t, func(f *fixture) {
		f.store.copy()
		f.store.put("servers/c", "ready")
		f.store.put("servers/d", "ready")
		time.Sleep(maxChangeTime)
		f.store.restore()
		time.Sleep(1500 * time.Millisecond)
		f.store.restore()
		time.Sleep(maxChangeTime)
		f.Expect(f.activeServers()).To(ConsistOf("a", "b", "c", "d"))
		f.store.put("servers/c", "ready")
		time.Sleep(maxChangeTime)
		f.Expect(f.activeServers()).To(ConsistOf("a", "b", "c"), "entries that are still missing are removed")
	})
}
