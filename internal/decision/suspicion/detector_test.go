package suspicion_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"wisteriafield/internal/decision/suspicion"
)

var (
	limits = suspicion.DefaultTimeouts()
	start  = time.Unix(1_000, 0)
)

// run plays what happens to a watch until it says Lost, in steps of 10 ms, and
// returns when that was. Engines answer after 2 ms, if answer says so.
func run(events func(ms int) bool, answer func(ms int) (suspicion.ProbeResult, bool), until int) (lostAt, asked int) {
	w := suspicion.NewDetector(limits, start)
	for ms := 0; ms < until; ms += 10 {
		now := start.Add(time.Duration(ms) * time.Millisecond)
		if events(ms) {
			w.ObserveEvent(now)
		}
		verdict, next := w.Evaluate(now)
		switch verdict {
		case suspicion.Lost:
			return ms, asked
		case suspicion.Probe:
			asked++
			if reply, ok := answer(ms); ok {
				w.ObserveReply(now.Add(2*time.Millisecond), reply)
			}
		}
		if !next.After(now) && verdict != suspicion.Lost {
			panic("a watch must look ahead")
		}
	}
	return -1, asked
}

func TestADarkEngineIsFoundWithinHalfOfThePauseThatCallersBear(t *testing.T) {
	g := NewWithT(t)
	lostAt, _ := run(
		func(ms int) bool { return ms <= 1000 && ms%30 == 0 },
		func(ms int) (suspicion.ProbeResult, bool) { return "", false }, 5000)
	g.Expect(lostAt - 990).To(BeNumerically("<=", 350))
}

func TestAnEngineThatReadsAnotherPromptIsNotSuspected(t *testing.T) {
	g := NewWithT(t)
	lostAt, asked := run(
		func(ms int) bool { return ms%700 == 0 },
		func(int) (suspicion.ProbeResult, bool) { return suspicion.Working, true }, 10_000)
	g.Expect(lostAt).To(Equal(-1))
	g.Expect(asked).To(BeNumerically(">", 10))
}

func TestALongPromptIsWaitedForWhileItsEngineAnswers(t *testing.T) {
	g := NewWithT(t)
	lostAt, _ := run(
		func(ms int) bool { return ms >= 4000 && ms%30 == 0 },
		func(int) (suspicion.ProbeResult, bool) { return suspicion.Working, true }, 6000)
	g.Expect(lostAt).To(Equal(-1))
}

func TestARunThatItsEngineDoesNotHaveIsLostSoon(t *testing.T) {
	g := NewWithT(t)
	lostAt, _ := run(
		func(int) bool { return false },
		func(int) (suspicion.ProbeResult, bool) { return suspicion.Missing, true }, 10_000)
	g.Expect(lostAt).To(BeNumerically(">", 400))
	g.Expect(lostAt).To(BeNumerically("<", 1200))
}

func TestOneOldReportDoesNotLoseARun(t *testing.T) {
	g := NewWithT(t)
	lostAt, _ := run(
		func(ms int) bool { return ms >= 2000 && ms%30 == 0 },
		func(ms int) (suspicion.ProbeResult, bool) {
			if ms > 600 && ms < 900 { // one question
				return suspicion.Missing, true
			}
			return suspicion.Working, true
		}, 4000)
	g.Expect(lostAt).To(Equal(-1))
}

func TestASilentNeighbourMakesTheQuestionDueAtOnce(t *testing.T) {
	g := NewWithT(t)
	w := suspicion.NewDetector(limits, start)
	w.ObserveEvent(start)
	w.ProbeNow(start.Add(20 * time.Millisecond))
	verdict, _ := w.Evaluate(start.Add(20 * time.Millisecond))
	g.Expect(verdict).To(Equal(suspicion.Probe))
}
