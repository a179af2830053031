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
