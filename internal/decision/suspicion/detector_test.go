package suspicion_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"wisteriafield/internal/decision/suspicion"
)

var (
	timeouts = suspicion.DefaultTimeouts()
	start    = time.Unix(1_000, 0)
)

// simulate runs a detector in steps of 10 ms until its verdict is Lost. It returns the
// time of that in ms, or -1, and the number of probes. Engines reply after 2 ms, if
// reply returns true.
func simulate(events func(ms int) bool, reply func(ms int) (suspicion.ProbeResult, bool), until int) (lostAt, probes int) {
	d := suspicion.NewDetector(timeouts, start)
	for ms := 0; ms < until; ms += 10 {
		now := start.Add(time.Duration(ms) * time.Millisecond)
		if events(ms) {
			d.ObserveEvent(now)
		}
		verdict, next := d.Evaluate(now)
		switch verdict {
		case suspicion.Lost:
			return ms, probes
		case suspicion.Probe:
			probes++
			if result, ok := reply(ms); ok {
				d.ObserveReply(now.Add(2*time.Millisecond), result)
			}
		}
		if !next.After(now) && verdict != suspicion.Lost {
			panic("the next evaluation must be in the future")
		}
	}
	return -1, probes
}

func TestUnresponsiveEngineIsDetectedWithinHalfOfTheMaximumPause(t *testing.T) {
	g := NewWithT(t)
	lostAt, _ := simulate(
		func(ms int) bool { return ms <= 1000 && ms%30 == 0 },
		func(ms int) (suspicion.ProbeResult, bool) { return "", false }, 5000)
	g.Expect(lostAt - 990).To(BeNumerically("<=", 350))
}

func TestEngineThatPrefillsAnotherPromptIsNotLost(t *testing.T) {
	g := NewWithT(t)
	lostAt, probes := simulate(
		func(ms int) bool { return ms%700 == 0 },
		func(int) (suspicion.ProbeResult, bool) { return suspicion.Working, true }, 10_000)
	g.Expect(lostAt).To(Equal(-1))
	g.Expect(probes).To(BeNumerically(">", 10))
}

func TestLongPrefillIsNotLostWhileItsEngineReplies(t *testing.T) {
	g := NewWithT(t)
	lostAt, _ := simulate(
		func(ms int) bool { return ms >= 4000 && ms%30 == 0 },
		func(int) (suspicion.ProbeResult, bool) { return suspicion.Working, true }, 6000)
	g.Expect(lostAt).To(Equal(-1))
}

func TestAttemptMissingAtItsEngineIsLostSoon(t *testing.T) {
	g := NewWithT(t)
	lostAt, _ := simulate(
		func(int) bool { return false },
		func(int) (suspicion.ProbeResult, bool) { return suspicion.Missing, true }, 10_000)
	g.Expect(lostAt).To(BeNumerically(">", 400))
	g.Expect(lostAt).To(BeNumerically("<", 1200))
}

func TestOneStaleReportDoesNotLoseAnAttempt(t *testing.T) {
	g := NewWithT(t)
	lostAt, _ := simulate(
		func(ms int) bool { return ms >= 2000 && ms%30 == 0 },
		func(ms int) (suspicion.ProbeResult, bool) {
			if ms > 600 && ms < 900 { // one probe
				return suspicion.Missing, true
			}
			return suspicion.Working, true
		}, 4000)
	g.Expect(lostAt).To(Equal(-1))
}

func TestProbeNowMakesTheProbeDueAtOnce(t *testing.T) {
	g := NewWithT(t)
	d := suspicion.NewDetector(timeouts, start)
	d.ObserveEvent(start)
	d.ProbeNow(start.Add(20 * time.Millisecond))
	verdict, _ := d.Evaluate(start.Add(20 * time.Millisecond))
	g.Expect(verdict).To(Equal(suspicion.Probe))
}
