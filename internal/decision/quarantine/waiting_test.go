package quarantine_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// lostInWave returns the server of a request that is sent now, if a wave takes it before it
// has answered.
func (f *fleet) lostInWave(now time.Time) (server string, at time.Time, lost bool) {
	i := f.rand.IntN(20)
	for _, w := range f.waves {
		at = start.Add(w + time.Duration(i)*2*step)
		if i < 10 && at.After(now) && at.Sub(now) <= prefillTime+survivalTime {
			return fmt.Sprintf("wave-%s-%d", w, i), at, true
		}
	}
	return "", time.Time{}, false
}

// Only servers that had begun to answer counted against a part.
func TestFleetStopsSendingADeadlyPartThatCrashesServersBeforeTheirAnswers(t *testing.T) {
	for _, size := range sizes {
		for _, deadly := range []float64{0.3, 1, 10} {
			if size.routers >= 195 && deadly != 1 {
				continue // one long play
			}
			s := size
			s.deadly, s.unanswered, s.earlyLoss, s.restartEvery, s.length = deadly, true, 0.03, time.Second, 25*time.Second
			t.Run(fmt.Sprintf("%d routers, %g a second", s.routers, deadly), func(t *testing.T) {
				t.Parallel()
				g := NewWithT(t)
				for seed := range s.seeds {
					out := s.play(seed)
					t.Logf("seed %d: %+v", seed, out)
					g.Expect(out.late).To(BeNumerically("<=", 3), "seed %d", seed)
					g.Expect(out.refused).To(BeNumerically("<=", out.sound/500), "seed %d: of %d sound requests", seed, out.sound)
				}
			})
		}
	}
}

// Requests of several sessions waited with a shared part at servers that were lost one after
// the other.
func TestPartsOfRequestsThatWaitAtLostServersAreNotBlocked(t *testing.T) {
	for _, size := range sizes {
		s := size
		s.seeds, s.sound, s.length = min(s.seeds, 4), 4*s.sound, 24*time.Second
		if s.routers >= 195 {
			s.sound, s.length = 70, 9*time.Second // a long play
		}
		s.parts = int(s.sound)
		for _, at := range []time.Duration{2, 5, 6, 7, 14, 20} {
			s.waves = append(s.waves, at*time.Second)
		}
		t.Run(fmt.Sprintf("%d routers", s.routers), func(t *testing.T) {
			t.Parallel()
			g := NewWithT(t)
			for seed := range s.seeds {
				out := s.play(seed)
				t.Logf("seed %d: refused %d of %d, %d unlucky", seed, out.refused, out.sound, out.unlucky)
				g.Expect(out.refused).To(BeNumerically("<=", out.sound/500), "seed %d: of %d sound requests", seed, out.sound)
			}
		})
	}
}
