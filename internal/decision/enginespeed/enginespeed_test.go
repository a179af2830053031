package enginespeed_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"wisteriafield/internal/decision/enginespeed"
)

const ms = time.Millisecond

// events records samples of four events of five tokens each.
func events(t *enginespeed.Tracker, samples int, tokenTime time.Duration) {
	for range samples {
		t.RecordEvents(20, 20*tokenTime)
	}
}

func TestOneDisturbanceDoesNotMoveTheSpeed(t *testing.T) {
	for _, c := range []struct {
		name    string
		disturb func(*enginespeed.Tracker)
	}{
		{"two prompts beside four streams", func(t *enginespeed.Tracker) { events(t, 16, 30*ms) }},
		{"a noisy neighbour", func(t *enginespeed.Tracker) { events(t, 10, 12*ms) }},
		{"events that arrive together after a stall", func(t *enginespeed.Tracker) { events(t, 1, 40*ms); events(t, 4, ms) }},
		{"an unknown queue before the prompt", func(t *enginespeed.Tracker) { t.RecordFirstEvent(5000, 5*time.Second, true) }},
		{"a known queue before the prompt", func(t *enginespeed.Tracker) { t.RecordFirstEvent(5000, 5*time.Second, false) }},
		{"a cached prompt", func(t *enginespeed.Tracker) { t.RecordFirstEvent(5000, 50*ms, true) }},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			var tracker enginespeed.Tracker
			for range 7 {
				tracker.RecordFirstEvent(5000, time.Second, true)
				events(&tracker, 30, 6*ms)
			}
			c.disturb(&tracker)
			g.Expect(tracker.Speed()).To(Equal(enginespeed.Speed{TokenTime: 6 * ms, PrefillTokensPerMs: 5}))
		})
	}
}

// Guards against a speed that stays the old one for many attempts.
func TestSpeedFollowsTheEngineWithinOneStream(t *testing.T) {
	for _, factor := range []time.Duration{2, 5} {
		g := NewWithT(t)
		var tracker enginespeed.Tracker
		tracker.RecordFirstEvent(5000, time.Second, true)
		events(&tracker, 50, 6*ms)
		events(&tracker, 32, factor*6*ms)
		g.Expect(tracker.Speed()).To(Equal(enginespeed.Speed{TokenTime: factor * 6 * ms, PrefillTokensPerMs: 5 / float64(factor)}))
		events(&tracker, 8, 6*ms)
		g.Expect(tracker.Speed().TokenTime).To(Equal(6 * ms))
	}
}

// The rate of a prompt whose engine seemed slow at that time, since prompts disturbed the first
// streams that were seen, was five times too high afterwards.
func TestDisturbedStreamsDoNotMakeThePrefillSeemFaster(t *testing.T) {
	g := NewWithT(t)
	var tracker enginespeed.Tracker
	events(&tracker, 8, 30*ms)
	tracker.RecordFirstEvent(5000, time.Second, true)
	events(&tracker, 12, 6*ms)
	g.Expect(tracker.Speed()).To(Equal(enginespeed.Speed{TokenTime: 6 * ms, PrefillTokensPerMs: 5}))
}

// An engine lost while prompts disturbed its streams seemed five times as slow after its restart,
// got no streams, and so stayed slow for its routers.
func TestRestartedEngineIsNotTakenForSlow(t *testing.T) {
	g := NewWithT(t)
	var known enginespeed.Tracker
	known.RecordFirstEvent(5000, time.Second, true)
	events(&known, 50, 6*ms)
	events(&known, 40, 30*ms)
	known = known.Restarted()
	g.Expect(known.Speed().TokenTime).To(BeNumerically("<", 8*ms))
	g.Expect(known.Speed().PrefillTokensPerMs).To(BeNumerically(">", 3.5))

	var unknown enginespeed.Tracker
	events(&unknown, 12, 30*ms)
	unknown = unknown.Restarted()
	g.Expect(unknown.Speed()).To(BeZero())
	g.Expect(unknown.Speed().OrElse(enginespeed.Median([]enginespeed.Speed{{}, {TokenTime: 9 * ms}, {TokenTime: 6 * ms}, {TokenTime: 4 * ms}})).TokenTime).To(Equal(6 * ms))
}
