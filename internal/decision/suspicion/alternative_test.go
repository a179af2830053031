package suspicion_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"wisteriafield/internal/decision/suspicion"
)

func TestSilenceEndsAnAttemptOnlyIfAnotherIsAllowed(t *testing.T) {
	allowed := suspicion.Alternative{Retryable: true, AttemptsLeft: 1, EngineUsable: true, Begun: true, Silence: time.Minute}
	for name, c := range map[string]struct {
		change func(a *suspicion.Alternative)
		want   suspicion.Decision
	}{
		"another attempt is allowed":                 {func(*suspicion.Alternative) {}, suspicion.Retry},
		"not repeatable":                             {func(a *suspicion.Alternative) { a.Retryable = false }, suspicion.Keep},
		"no attempts left":                           {func(a *suspicion.Alternative) { a.AttemptsLeft = 0 }, suspicion.Keep},
		"quarantined prompt":                         {func(a *suspicion.Alternative) { a.Quarantined = true }, suspicion.Keep},
		"no other engine":                            {func(a *suspicion.Alternative) { a.EngineUsable = false }, suspicion.Keep},
		"not repeatable, at the start":               {func(a *suspicion.Alternative) { a.Retryable, a.Begun = false, false }, suspicion.Keep},
		"no attempts left, just silent":              {func(a *suspicion.Alternative) { a.AttemptsLeft, a.Begun, a.Silence = 0, false, 2*time.Second }, suspicion.Keep},
		"no attempts left, no answer":                {func(a *suspicion.Alternative) { a.AttemptsLeft, a.Begun = 0, false }, suspicion.Abandon},
		"last attempt, after another silence":        {func(a *suspicion.Alternative) { a.LeftSilent, a.Silence = true, time.Second }, suspicion.Keep},
		"last attempt, silence of an unsound engine": {func(a *suspicion.Alternative) { a.LeftSilent, a.Silence = true, 2*time.Second }, suspicion.Retry},
		"last attempt, engine does not have it":      {func(a *suspicion.Alternative) { a.LeftSilent, a.Doubted, a.Silence = true, true, time.Second }, suspicion.Retry},
		"attempts left, after another silence":       {func(a *suspicion.Alternative) { a.LeftSilent, a.AttemptsLeft, a.Silence = true, 2, time.Second }, suspicion.Retry},
		"last attempt, after another silence, at the start": {func(a *suspicion.Alternative) {
			a.LeftSilent, a.Begun, a.Silence, a.Unheard = true, false, 5*time.Second, time.Second
		}, suspicion.Keep},
		"last attempt, unheard of at the start": {func(a *suspicion.Alternative) {
			a.LeftSilent, a.Begun, a.Silence, a.Unheard = true, false, 5*time.Second, 2*time.Second
		}, suspicion.Retry},
		"last attempt, mute at the start": {func(a *suspicion.Alternative) { a.LeftSilent, a.Begun, a.Silence = true, false, 8*time.Second }, suspicion.Retry},
		"no attempts left, silent for a moment in a long prefill": {func(a *suspicion.Alternative) {
			a.AttemptsLeft, a.Begun, a.Silence, a.Unheard = 0, false, 5*time.Second, time.Second
		}, suspicion.Keep},
		"no attempts left, engine does not have it": {func(a *suspicion.Alternative) {
			a.AttemptsLeft, a.Begun, a.Doubted, a.Silence, a.Unheard = 0, false, true, 3*time.Second, 100*time.Millisecond
		}, suspicion.Abandon},
		"no other engine for a moment, no answer": {func(a *suspicion.Alternative) {
			a.EngineUsable, a.EngineLeft, a.Begun, a.Unheard = false, true, false, time.Minute
		}, suspicion.Keep},
		"no other engine, no answer": {func(a *suspicion.Alternative) {
			a.EngineUsable, a.Begun, a.Unheard = false, false, time.Minute
		}, suspicion.Abandon},
		"another incarnation": {func(a *suspicion.Alternative) { a.Retryable, a.Replaced = false, true }, suspicion.Abandon},
	} {
		a := allowed
		c.change(&a)
		NewWithT(t).Expect(a.Decide()).To(Equal(c.want), name)
	}
}

func TestAKeptStreamIsProbedAtABoundedRateAndLeftAfterEachProbe(t *testing.T) {
	g := NewWithT(t)
	d := suspicion.NewDetector(timeouts, start)
	d.ObserveEvent(start)
	probes, verdicts := 0, 0
	for ms := 0; ms < 20_000; ms += 10 {
		now := start.Add(time.Duration(ms) * time.Millisecond)
		switch verdict, next := d.Evaluate(now); verdict {
		case suspicion.Probe:
			probes++
			g.Expect(next).To(BeTemporally(">", now))
		case suspicion.Lost:
			verdicts++
			d.Hold(now)
		}
	}
	g.Expect(probes).To(BeNumerically("<=", 2*20), "two a second")
	g.Expect(verdicts).To(BeNumerically(">=", 20), "one a second")
}

func TestAKeptStreamWhoseEngineAnswersAgainIsWatchedAsBefore(t *testing.T) {
	g := NewWithT(t)
	d := suspicion.NewDetector(timeouts, start)
	d.ObserveEvent(start)
	d.Hold(start.Add(310 * time.Millisecond))
	verdict, _ := d.Evaluate(start.Add(810 * time.Millisecond))
	g.Expect(verdict).To(Equal(suspicion.Probe))
	d.ObserveReply(start.Add(812*time.Millisecond), suspicion.Working)
	verdict, next := d.Evaluate(start.Add(812 * time.Millisecond))
	g.Expect(verdict).To(Equal(suspicion.Wait))
	g.Expect(next).To(BeTemporally("~", start.Add(972*time.Millisecond), time.Millisecond))
}
