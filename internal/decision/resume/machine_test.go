package resume_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"wisteriafield/internal/decision/resume"
)

var start = time.Date(2026, 12, 4, 9, 0, 0, 0, time.UTC)

func machine() *resume.Machine {
	return &resume.Machine{StartBy: start.Add(2 * time.Second), AnswerBy: start.Add(time.Minute), ResumeWait: 10 * time.Second}
}

func TestALossIsResumedElsewhereAtOnce(t *testing.T) {
	g := NewWithT(t)
	m := machine()
	g.Expect(m.Next(start, resume.Event{Kind: resume.Begin}).Kind).To(Equal(resume.StartAttempt))
	act := m.Next(start.Add(time.Second), resume.Event{Kind: resume.Lost, Server: "engine", Tokens: 5})
	g.Expect(act.Kind).To(Equal(resume.StartAttempt))
	g.Expect(act.Resume).To(BeTrue())
	g.Expect(act.Avoid).To(Equal("engine"))
	g.Expect(act.StartBy).To(Equal(start.Add(11 * time.Second)))
}

func TestARefusalAsksTheBetterKeeperAndThenPauses(t *testing.T) {
	g := NewWithT(t)
	m := machine()
	m.Next(start, resume.Event{Kind: resume.Begin})
	act := m.Next(start, resume.Event{Kind: resume.Refused, Keeper: "a", Better: "b"})
	g.Expect(act.Prefer).To(Equal("b"))
	act = m.Next(start, resume.Event{Kind: resume.Refused, Keeper: "b", Better: "a"})
	g.Expect(act.Prefer).To(BeEmpty(), "a keeper that refused is not asked again at once")
	g.Expect(act.Queue).To(BeFalse(), "only a free slot will do")
	act = m.Next(start, resume.Event{Kind: resume.Refused, Keeper: "c"})
	g.Expect(act.Queue).To(BeTrue(), "no free slot at three keepers: wait at the cheapest")
	act = m.Next(start, resume.Event{Kind: resume.Refused, Keeper: "b"})
	g.Expect(act.Kind).To(Equal(resume.Wait))
	g.Expect(act.Until).To(BeTemporally(">", start))
}

func TestNotRunIsSaidOnlyIfNothingStarted(t *testing.T) {
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
			m := machine()
			m.Next(start, resume.Event{Kind: resume.Begin})
			if test.started {
				m.MarkStarted()
			}
			if test.lost {
				m.Next(start, resume.Event{Kind: resume.Lost})
			}
			act := resume.Action{}
			now := start
			for act.Kind != resume.Fail {
				act = m.Next(now, resume.Event{Kind: resume.Refused, Keeper: "k", RetryAt: now.Add(time.Second)})
				now = now.Add(300 * time.Millisecond)
				g.Expect(now).To(BeTemporally("<", start.Add(time.Minute)))
			}
			g.Expect(act.NotRun).To(Equal(test.notRun))
		})
	}
}

func TestLossesWithoutProgressEnd(t *testing.T) {
	g := NewWithT(t)
	m := machine()
	m.Next(start, resume.Event{Kind: resume.Begin})
	for i := 1; i <= 20; i++ {
		g.Expect(m.Next(start, resume.Event{Kind: resume.Lost, Tokens: i}).Kind).To(Equal(resume.StartAttempt), "with progress it goes on")
	}
	kind := resume.StartAttempt
	for range 10 {
		kind = m.Next(start, resume.Event{Kind: resume.Lost, Tokens: 20}).Kind
	}
	g.Expect(kind).To(Equal(resume.Fail))
}

func TestTheAnswersDeadlineEndsIt(t *testing.T) {
	m := machine()
	act := m.Next(start.Add(time.Hour), resume.Event{Kind: resume.Lost})
	NewWithT(t).Expect(act.Code).To(Equal(resume.TimedOut))
}
