package freshness_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"wisteriafield/internal/decision/freshness"
	"wisteriafield/internal/decision/storehistory"
)

const changeTime = 2 * time.Second

var now = time.Unix(1_000, 0)

func at(revision int64) storehistory.Position {
	return storehistory.Position{Era: 1, Revision: revision}
}

// peer returns a peer that was up to date a moment ago.
func peer(version, revision int64) freshness.State {
	return freshness.State{Version: version, List: at(revision), ConfigAt: at(revision), ConfirmedAt: now.Add(-100 * time.Millisecond)}
}

func TestAPeerWithNothingNewerConfirms(t *testing.T) {
	g := NewWithT(t)
	var tracker freshness.Tracker
	g.Expect(tracker.Overdue(changeTime, now)).To(BeTrue())
	tracker.Hear(peer(3, 40), 3, at(40))
	g.Expect(tracker.Overdue(changeTime, now.Add(1200*time.Millisecond))).To(BeFalse())
	g.Expect(tracker.Overdue(changeTime, now.Add(1300*time.Millisecond))).To(BeTrue(), "the confirmation is as old as the peer's")
	g.Expect(tracker.ConfigAt()).To(Equal(at(40)))
}

func TestAPeerWithANewerConfigurationOrListDoesNotConfirm(t *testing.T) {
	g := NewWithT(t)
	var tracker freshness.Tracker
	tracker.Read(at(30), now.Add(-time.Second))
	tracker.Hear(peer(4, 40), 3, at(40))
	g.Expect(tracker.ConfigAt()).To(Equal(at(30)), "the configuration at 40 is not known")
	g.Expect(tracker.ConfirmedAt()).To(Equal(now.Add(-time.Second)))
	tracker.Hear(peer(4, 40), 4, at(30))
	g.Expect(tracker.ConfigAt()).To(Equal(at(40)))
	g.Expect(tracker.ConfirmedAt()).To(Equal(now.Add(-time.Second)), "the list is older than the peer's")
}

func TestAnOlderConfirmationChangesNothing(t *testing.T) {
	g := NewWithT(t)
	var tracker freshness.Tracker
	tracker.Read(at(50), now)
	tracker.Hear(peer(3, 40), 4, at(50))
	g.Expect(tracker.ConfigAt()).To(Equal(at(50)))
	g.Expect(tracker.ConfirmedAt()).To(Equal(now))
}

// Routers whose last confirmation is the same one must not all call the store at once.
func TestFirstTriesAreSpreadOverTheTimeThatIsLeft(t *testing.T) {
	g := NewWithT(t)
	const check, call = 200 * time.Millisecond, 100 * time.Millisecond
	for _, change := range []time.Duration{2 * time.Second, 3 * time.Second, 4 * time.Second} {
		last := freshness.FirstTryDelay(change, 0.999)
		g.Expect(freshness.FirstTryDelay(change, 0)).To(BeZero())
		g.Expect(last).To(BeNumerically(">=", change/12))
		g.Expect(freshness.MaxAge(change) + last + check + call).To(BeNumerically("<", change))
	}
	g.Expect(freshness.FirstTryDelay(time.Second, 0.5)).To(BeZero())
}

func TestAWatchConfirmsUpToItsEndAtMost(t *testing.T) {
	g := NewWithT(t)
	const wait = time.Second
	watched := func(after time.Duration, changed bool) time.Duration {
		return freshness.WatchedAt(now, now.Add(after), wait, changed).Sub(now)
	}
	g.Expect(watched(300*time.Millisecond, true)).To(Equal(300 * time.Millisecond))
	g.Expect(watched(wait+4*time.Millisecond, false)).To(Equal(wait))
	g.Expect(watched(4*time.Second, false)).To(Equal(wait), "the process stood still")
	g.Expect(watched(4*time.Second, true)).To(BeZero(), "the answer may be as old as the watch")
}
