// Package suspicion decides when a stream that went quiet is lost. Silence
// alone proves nothing, since an engine that reads another prompt is quiet too:
// the engine is asked, and its answer or its silence decides.
package suspicion

import "time"

// Limits are the times of a watch.
type Limits struct {
	Quiet       time.Duration // between events, before the engine is asked
	QuietStart  time.Duration // before the first event, the same
	AnswerTime  time.Duration // for the engine to answer when asked
	MostSilence time.Duration // after which a stream is lost whatever the engine says
	MostStart   time.Duration // the same before the first event
	ReportLag   time.Duration // what an engine reports is up to this old
}

// DefaultLimits fit pauses of 700 ms: a dark engine is found after some 300 ms,
// which leaves the rest to go on elsewhere.
func DefaultLimits() Limits {
	return Limits{
		Quiet:       160 * time.Millisecond,
		QuietStart:  450 * time.Millisecond,
		AnswerTime:  150 * time.Millisecond,
		MostSilence: 1500 * time.Millisecond,
		MostStart:   8 * time.Second,
		ReportLag:   400 * time.Millisecond,
	}
}

// PlainLimits are for streams of services that can't be asked: only their
// connection and the caller's deadline end them.
func PlainLimits() Limits {
	const never = time.Hour
	return Limits{Quiet: never, QuietStart: never, AnswerTime: never, MostSilence: never, MostStart: never}
}

// Verdict is what to do with a stream now.
type Verdict string

// The verdicts.
const (
	Wait Verdict = "Wait"
	Ask  Verdict = "Ask"  // ask the engine whether it lives
	Lost Verdict = "Lost" // go on elsewhere
)

// Watch follows one stream.
type Watch struct {
	limits  Limits
	started bool
	eventAt time.Time // last event, or the start
	signAt  time.Time // last sign of life
	askedAt time.Time // first question that has no answer yet
	asks    int
	doubts  int // answers in a row that speak against the run
}

// mostDoubts in a row lose a stream.
const mostDoubts = 2

// NewWatch starts a watch.
func NewWatch(limits Limits, now time.Time) *Watch {
	return &Watch{limits: limits, eventAt: now, signAt: now}
}

// Event notes an event of the stream.
func (w *Watch) Event(now time.Time) {
	w.started = true
	w.eventAt, w.signAt = now, now
	w.askedAt, w.asks = time.Time{}, 0
	w.doubts = 0
}

// Reply is what an engine's answer says of the run.
type Reply string

// The replies.
const (
	Working Reply = "Working" // it has the run, or may have it
	Missing Reply = "Missing" // it does not have the run
	Ahead   Reply = "Ahead"   // it made events that did not arrive
)

// Answered notes the engine's answer. Its reports lag, so one that misses the
// run, or is ahead, counts only when the next one says so too.
func (w *Watch) Answered(now time.Time, reply Reply) {
	w.signAt = now
	w.askedAt, w.asks = time.Time{}, 0
	if reply == Working || now.Sub(w.eventAt) < w.limits.ReportLag {
		w.doubts = 0
		return
	}
	w.doubts++
}

// Unanswered reports whether the engine was asked and has not answered.
func (w *Watch) Unanswered() bool { return !w.askedAt.IsZero() }

// Hurry makes the next question due at once, since another engine nearby fell
// silent.
func (w *Watch) Hurry(now time.Time) {
	if w.askedAt.IsZero() {
		w.signAt = now.Add(-w.limits.QuietStart)
	}
}

// Next returns the verdict at a moment, and when to look again.
func (w *Watch) Next(now time.Time) (Verdict, time.Time) {
	quiet, most := w.limits.Quiet, w.limits.MostSilence
	if !w.started {
		quiet, most = w.limits.QuietStart, w.limits.MostStart
	}
	end := w.eventAt.Add(most)
	if !now.Before(end) || w.doubts >= mostDoubts {
		return Lost, now
	}
	if w.askedAt.IsZero() {
		due := w.signAt.Add(quiet)
		if now.Before(due) {
			return Wait, earlier(due, end)
		}
		w.askedAt, w.asks = now, 1
		return Ask, earlier(now.Add(w.limits.AnswerTime/2), end)
	}
	lost := w.askedAt.Add(w.limits.AnswerTime)
	if !now.Before(lost) {
		return Lost, now
	}
	// A second question half-way, since a packet may be lost.
	second := w.askedAt.Add(w.limits.AnswerTime / 2)
	if w.asks == 1 && !now.Before(second) {
		w.asks = 2
		return Ask, earlier(lost, end)
	}
	if w.asks == 1 {
		return Wait, earlier(second, end)
	}
	return Wait, earlier(lost, end)
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}
