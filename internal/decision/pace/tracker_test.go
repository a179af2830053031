package pace_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"wisteriafield/internal/decision/pace"
)

func TestSlowdownIsRelativeToTheServersOwnPast(t *testing.T) {
	for _, test := range []struct {
		name      string
		past, now time.Duration
		slow      bool
	}{
		{"steady", 27 * time.Millisecond, 27 * time.Millisecond, false},
		{"slow but steady", 90 * time.Millisecond, 90 * time.Millisecond, false},
		{"a third of its past speed", 27 * time.Millisecond, 81 * time.Millisecond, true},
		{"faster than before", 27 * time.Millisecond, 13 * time.Millisecond, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			var p pace.Tracker
			for range 2000 {
				p.Observe(test.past, 0.5)
			}
			for range 40 {
				p.Observe(test.now, 0.5)
			}
			NewWithT(t).Expect(p.Slow()).To(Equal(test.slow))
		})
	}
}

func TestTokenTimeoutFollowsThePaceWithinBounds(t *testing.T) {
	g := NewWithT(t)
	var p pace.Tracker
	g.Expect(p.TokenTimeout()).To(Equal(300 * time.Millisecond))
	for range 100 {
		p.Observe(50*time.Millisecond, 0)
	}
	g.Expect(p.TokenTimeout()).To(BeNumerically("~", 500*time.Millisecond, 10*time.Millisecond))
	for range 100 {
		p.Observe(time.Second, 0)
	}
	g.Expect(p.TokenTimeout()).To(Equal(900 * time.Millisecond))
}
