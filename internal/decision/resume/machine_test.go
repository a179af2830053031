package resume_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"wisteriafield/internal/decision/resume"
)

var start = time.Date(2026, 12, 4, 9, 0, 0, 0, time.UTC)

func newMachine() *resume.Machine {
	return &resume.Machine{StartBy: start.Add(2 * time.Second), AnswerBy: start.Add(time.Minute), ResumeWait: 10 * time.Second}
}

func TestALostAttemptIsResumedOnAnotherServerAtOnce(t *testing.T) {
	g := NewWithT(t)
	m := newMachine()
	g.Expect(m.Next(start, resume.Event{Kind: resume.Begin}).Kind).To(Equal(resume.StartAttempt))
	action := m.Next(start.Add(time.Second), resume.Event{Kind: resume.Lost, Server: "engine", Tokens: 5})
	g.Expect(action.Kind).To(Equal(resume.StartAttempt))
	g.Expect(action.Resume).To(BeTrue())
	g.Expect(action.Avoid).To(Equal("engine"))
	g.Expect(action.StartBy).To(Equal(start.Add(11 * time.Second)))
}

func TestARefusalAsksTheBetterKeeperAndThenWaits(t *testing.T) {
	g := NewWithT(t)
	m := newMachine()
	m.Next(start, resume.Event{Kind: resume.Begin})
	action := m.Next(start, resume.Event{Kind: resume.Refused, Keeper: "a", BetterKeeper: "b"})
	g.Expect(action.Prefer).To(Equal("b"))
	action = m.Next(start, resume.Event{Kind: resume.Refused, Keeper: "b", BetterKeeper: "a"})
	g.Expect(action.Prefer).To(BeEmpty(), "a keeper that refused is not asked again at once")
	g.Expect(action.Queue).To(BeFalse(), "only a free slot is accepted")
	action = m.Next(start, resume.Event{Kind: resume.Refused, Keeper: "c"})
	g.Expect(action.Queue).To(BeTrue(), "no free slot at three keepers: wait in the queue of the cheapest")
	action = m.Next(start, resume.Event{Kind: resume.Refused, Keeper: "b"})
	g.Expect(action.Kind).To(Equal(resume.Wait))
	g.Expect(action.Until).To(BeTemporally(">", start))
}

func TestNotRunIsReportedOnlyIfNothingStarted(t *testing.T) {
	for _, test := range []struct {
		name    string
		started bool
		lost    bool
		notRun  bool
	}{
		{"only refusals", false, false, true},
		{"an attempt started", true, false, false},
		{"an attempt was lost", false, true, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			g := NewWithT(t)
			m := newMachine()
			m.Next(start, resume.Event{Kind: resume.Begin})
			if test.started {
				m.MarkStarted()
			}
			if test.lost {
				m.Next(start, resume.Event{Kind: resume.Lost})
			}
			action := resume.Action{}
			now := start
			for action.Kind != resume.Fail {
				action = m.Next(now, resume.Event{Kind: resume.Refused, Keeper: "k", RetryAt: now.Add(time.Second)})
				now = now.Add(300 * time.Millisecond)
				g.Expect(now).To(BeTemporally("<", start.Add(time.Minute)))
			}
			g.Expect(action.NotRun).To(Equal(test.notRun))
		})
	}
}

func TestLossesWithoutProgressFail(t *testing.T) {
	g := NewWithT(t)
	m := newMachine()
	m.Next(start, resume.Event{Kind: resume.Begin})
	for i := 1; i <= 20; i++ {
		g.Expect(m.Next(start, resume.Event{Kind: resume.Lost, Tokens: i}).Kind).To(Equal(resume.StartAttempt), "a loss after progress is resumed")
	}
	kind := resume.StartAttempt
	for range 10 {
		kind = m.Next(start, resume.Event{Kind: resume.Lost, Tokens: 20}).Kind
	}
	g.Expect(kind).To(Equal(resume.Fail))
}

// Sound servers that were silent for a moment each ended a generation with a long prompt.
func TestSilencesDoNotEndAGenerationBeforeItsDeadline(t *testing.T) {
	g := NewWithT(t)
	m := newMachine()
	m.Next(start, resume.Event{Kind: resume.Begin})
	now := start
	for range 20 {
		now = now.Add(2 * time.Second)
		action := m.Next(now, resume.Event{Kind: resume.Lost, Server: "engine", Silent: true})
		g.Expect(action.Kind).To(Equal(resume.StartAttempt))
		g.Expect(action.Avoid).To(Equal("engine"))
	}
	g.Expect(m.Next(start.Add(time.Minute), resume.Event{Kind: resume.Lost, Silent: true}).Code).To(Equal(resume.TimedOut))
}

// Keepers that end refuse connections, so a generation had asked seven of them within milliseconds.
func TestKeepersThatEndAtOnceDoNotEndAGeneration(t *testing.T) {
	g := NewWithT(t)
	m := newMachine()
	m.Next(start, resume.Event{Kind: resume.Begin})
	now, attempts := start, 0
	for now.Before(start.Add(2 * time.Second)) {
		action := m.Next(now, resume.Event{Kind: resume.Lost, Keeper: "a", KeeperGone: true})
		if action.Kind == resume.Wait {
			now = action.Until
			action = m.Next(now, resume.Event{Kind: resume.Tick})
		}
		g.Expect(action.Kind).To(Equal(resume.StartAttempt))
		attempts++
		g.Expect(attempts).To(BeNumerically("<", 15), "they are not asked in a loop")
		now = now.Add(time.Millisecond)
	}
	g.Expect(attempts).To(BeNumerically(">", 7))
	g.Expect(m.Next(start.Add(time.Minute), resume.Event{Kind: resume.Lost, KeeperGone: true}).Code).To(Equal(resume.TimedOut))
}

func TestTheAnswerDeadlineEndsTheGeneration(t *testing.T) {
	m := newMachine()
	action := m.Next(start.Add(time.Hour), resume.Event{Kind: resume.Lost})
	NewWithT(t).Expect(action.Code).To(Equal(resume.TimedOut))
}
