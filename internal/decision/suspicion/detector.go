// Package suspicion decides when a stream that went quiet is lost. Silence
// alone proves nothing, since an engine that reads another prompt is quiet too:
// the engine is asked, and its answer or its silence decides.
package suspicion

import "time"

// Timeouts are the times of a watch.
type Timeouts struct {
	ProbeDelay      time.Duration // between events, before the engine is asked
	StartProbeDelay time.Duration // before the first event, the same
	ProbeTimeout    time.Duration // for the engine to answer when asked
	MaxSilence      time.Duration // after which a stream is lost whatever the engine says
	MaxStartSilence time.Duration // the same before the first event
	ReportLag       time.Duration // what an engine reports is up to this old
}

// DefaultTimeouts fit pauses of 700 ms: a dark engine is found after some 300 ms,
// which leaves the rest to go on elsewhere.
func DefaultTimeouts() Timeouts {
	return Timeouts{
		ProbeDelay:      160 * time.Millisecond,
		StartProbeDelay: 450 * time.Millisecond,
		ProbeTimeout:    150 * time.Millisecond,
		MaxSilence:      1500 * time.Millisecond,
		MaxStartSilence: 8 * time.Second,
		ReportLag:       400 * time.Millisecond,
	}
}

// ServiceTimeouts are for streams of services that can't be asked: only their
// connection and the caller's deadline end them.
func ServiceTimeouts() Timeouts {
	const never = time.Hour
	return Timeouts{ProbeDelay: never, StartProbeDelay: never, ProbeTimeout: never, MaxSilence: never, MaxStartSilence: never}
}

// Verdict is what to do with a stream now.
type Verdict string

// The verdicts.
const (
	Wait  Verdict = "Wait"
	Probe Verdict = "Ask"  // ask the engine whether it lives
	Lost  Verdict = "Lost" // go on elsewhere
)

// Detector follows one stream.
type Detector struct {
	limits  Timeouts
	started bool
	eventAt time.Time // last event, or the start
	signAt  time.Time // last sign of life
	askedAt time.Time // first question that has no answer yet
	asks    int
	doubts  int // answers in a row that speak against the run
}

// mostDoubts in a row lose a stream.
const mostDoubts = 2

// NewDetector starts a watch.
func NewDetector(limits Timeouts, now time.Time) *Detector {
	return &Detector{limits: limits, eventAt: now, signAt: now}
}

// ObserveEvent notes an event of the stream.
func (w *Detector) ObserveEvent(now time.Time) {
	w.started = true
	w.eventAt, w.signAt = now, now
	w.askedAt, w.asks = time.Time{}, 0
	w.doubts = 0
}

// ProbeResult is what an engine's answer says of the run.
type ProbeResult string

// The replies.
const (
	Working ProbeResult = "Working" // it has the run, or may have it
	Missing ProbeResult = "Missing" // it does not have the run
	Ahead   ProbeResult = "Ahead"   // it made events that did not arrive
)

// ObserveReply notes the engine's answer. Its reports lag, so one that misses the
// run, or is ahead, counts only when the next one says so too.
func (w *Detector) ObserveReply(now time.Time, reply ProbeResult) {
	w.signAt = now
	w.askedAt, w.asks = time.Time{}, 0
	if reply == Working || now.Sub(w.eventAt) < w.limits.ReportLag {
		w.doubts = 0
		return
	}
	w.doubts++
}

// ProbePending reports whether the engine was asked and has not answered.
func (w *Detector) ProbePending() bool { return !w.askedAt.IsZero() }

// ProbeNow makes the next question due at once, since another engine nearby fell
// silent.
func (w *Detector) ProbeNow(now time.Time) {
	if w.askedAt.IsZero() {
		w.signAt = now.Add(-w.limits.StartProbeDelay)
	}
}

// Evaluate returns the verdict at a moment, and when to look again.
func (w *Detector) Evaluate(now time.Time) (Verdict, time.Time) {
	quiet, most := w.limits.ProbeDelay, w.limits.MaxSilence
	if !w.started {
		quiet, most = w.limits.StartProbeDelay, w.limits.MaxStartSilence
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
		return Probe, earlier(now.Add(w.limits.ProbeTimeout/2), end)
	}
	lost := w.askedAt.Add(w.limits.ProbeTimeout)
	if !now.Before(lost) {
		return Lost, now
	}
	// A second question half-way, since a packet may be lost.
	second := w.askedAt.Add(w.limits.ProbeTimeout / 2)
	if w.asks == 1 && !now.Before(second) {
		w.asks = 2
		return Probe, earlier(lost, end)
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
