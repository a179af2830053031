// Package suspicion decides when a stream without events is lost. Silence alone proves
// nothing, since an engine that prefills another prompt sends no events either. So the
// engine is probed, and its reply, or the lack of one, decides.
package suspicion

import "time"

// Timeouts are the delays and timeouts of a Detector.
type Timeouts struct {
	ProbeDelay      time.Duration // silence after an event until the engine is probed
	StartProbeDelay time.Duration // the same before the first event
	ProbeTimeout    time.Duration // for the engine to reply to a probe
	MaxSilence      time.Duration // after which a stream is lost whatever the engine replies
	MaxStartSilence time.Duration // the same before the first event
	ReportLag       time.Duration // maximum age of what an engine reports
	HoldDelay       time.Duration // between two verdicts on a stream that is kept though it counts as lost
}

// maxStartSilence bounds the wait for the first event of an engine that answers probes.
const maxStartSilence = 8 * time.Second

// DefaultTimeouts returns timeouts for callers that accept pauses of 700 ms:
// an unresponsive engine is detected after some 300 ms, which leaves the rest to resume
// on another engine.
func DefaultTimeouts() Timeouts {
	return Timeouts{
		ProbeDelay:      160 * time.Millisecond,
		StartProbeDelay: 450 * time.Millisecond,
		ProbeTimeout:    150 * time.Millisecond,
		MaxSilence:      1500 * time.Millisecond,
		MaxStartSilence: maxStartSilence,
		ReportLag:       400 * time.Millisecond,
		HoldDelay:       500 * time.Millisecond,
	}
}

// ServiceTimeouts returns timeouts for streams of services, which can't be probed: only
// the connection and the caller's deadline end them.
func ServiceTimeouts() Timeouts {
	const never = time.Hour
	return Timeouts{ProbeDelay: never, StartProbeDelay: never, ProbeTimeout: never, MaxSilence: never, MaxStartSilence: never}
}

// Verdict is what to do with a stream now.
type Verdict string

// Verdicts of a Detector.
const (
	Wait  Verdict = "Wait"
	Probe Verdict = "Ask"  // probe the engine
	Lost  Verdict = "Lost" // resume on another engine
)

// Detector detects the loss of one stream.
type Detector struct {
	timeouts Timeouts
	started  bool
	eventAt  time.Time // last event, or the start
	heardAt  time.Time // last event or reply, or the start
	aliveAt  time.Time // the same, or earlier to make a probe due
	probedAt time.Time // first probe without a reply yet; zero if there is none
	probes   int
	doubts   int // consecutive replies that the attempt is missing or ahead

	heldUntil time.Time // of a stream that is kept though it counts as lost, the next probe; zero otherwise
}

// maxDoubts is the number of consecutive doubtful replies that make a stream lost.
const maxDoubts = 2

// NewDetector returns a detector for a stream that starts now.
func NewDetector(timeouts Timeouts, now time.Time) *Detector {
	return &Detector{timeouts: timeouts, eventAt: now, heardAt: now, aliveAt: now}
}

// ObserveEvent records an event of the stream.
func (d *Detector) ObserveEvent(now time.Time) {
	d.started = true
	d.eventAt, d.heardAt, d.aliveAt = now, now, now
	d.probedAt, d.probes = time.Time{}, 0
	d.doubts = 0
	d.heldUntil = time.Time{}
}

// Hold keeps a stream that counts as lost, since no other attempt may follow now. The
// engine is probed again after a while, and the next verdict follows.
func (d *Detector) Hold(now time.Time) {
	d.probedAt, d.probes = time.Time{}, 0
	d.heldUntil = now.Add(d.timeouts.HoldDelay)
}

// ProbeResult is what an engine's reply says about the attempt.
type ProbeResult string

// Results of a probe.
const (
	Working ProbeResult = "Working" // it runs the attempt, or may run it
	Missing ProbeResult = "Missing" // it does not run the attempt
	Ahead   ProbeResult = "Ahead"   // it produced events that did not arrive
)

// ObserveReply records the engine's reply to a probe. Its reports lag, so one in which
// the attempt is missing or ahead counts only if the next one confirms it.
func (d *Detector) ObserveReply(now time.Time, result ProbeResult) {
	d.heardAt, d.aliveAt = now, now
	d.probedAt = time.Time{}
	if result == Working && now.Before(d.eventAt.Add(d.maxSilence())) {
		d.heldUntil = time.Time{}
	}
	if d.heldUntil.IsZero() {
		d.probes = 0
	}
	if result == Working || now.Sub(d.eventAt) < d.timeouts.ReportLag {
		d.doubts = 0
		return
	}
	d.doubts++
}

// ProbePending reports whether the engine was probed and hasn't replied.
func (d *Detector) ProbePending() bool { return !d.probedAt.IsZero() }

// Doubted reports whether the engine's replies say that it does not have the attempt, or
// that its events don't arrive.
func (d *Detector) Doubted() bool { return d.doubts >= maxDoubts }

// Silence returns the time since the last event, or since the start.
func (d *Detector) Silence(now time.Time) time.Duration { return now.Sub(d.eventAt) }

// Unheard returns the time since the last event or reply, or since the start.
func (d *Detector) Unheard(now time.Time) time.Duration { return now.Sub(d.heardAt) }

// ProbeNow makes the next probe due at once, because another engine of the same failure
// domain became unresponsive.
func (d *Detector) ProbeNow(now time.Time) {
	if d.probedAt.IsZero() {
		d.aliveAt = now.Add(-d.timeouts.StartProbeDelay)
	}
}

// Evaluate returns the verdict at a time, and when to evaluate the stream again.
func (d *Detector) Evaluate(now time.Time) (Verdict, time.Time) {
	if !d.heldUntil.IsZero() {
		return d.evaluateHeld(now)
	}
	delay := d.timeouts.ProbeDelay
	if !d.started {
		delay = d.timeouts.StartProbeDelay
	}
	end := d.eventAt.Add(d.maxSilence())
	if !now.Before(end) || d.Doubted() {
		return Lost, now
	}
	if d.probedAt.IsZero() {
		dueAt := d.aliveAt.Add(delay)
		if now.Before(dueAt) {
			return Wait, earlier(dueAt, end)
		}
		d.probedAt, d.probes = now, 1
		return Probe, earlier(now.Add(d.timeouts.ProbeTimeout/2), end)
	}
	lostAt := d.probedAt.Add(d.timeouts.ProbeTimeout)
	if !now.Before(lostAt) {
		return Lost, now
	}
	// The second probe is sent halfway, since a packet may be lost.
	secondAt := d.probedAt.Add(d.timeouts.ProbeTimeout / 2)
	if d.probes == 1 && !now.Before(secondAt) {
		d.probes = 2
		return Probe, earlier(lostAt, end)
	}
	if d.probes == 1 {
		return Wait, earlier(secondAt, end)
	}
	return Wait, earlier(lostAt, end)
}

func (d *Detector) maxSilence() time.Duration {
	if d.started {
		return d.timeouts.MaxSilence
	}
	return d.timeouts.MaxStartSilence
}

// evaluateHeld is Evaluate for a stream that is kept though it counts as lost.
func (d *Detector) evaluateHeld(now time.Time) (Verdict, time.Time) {
	lostAt := d.heldUntil.Add(d.timeouts.ProbeTimeout)
	switch {
	case now.Before(d.heldUntil):
		return Wait, d.heldUntil
	case !now.Before(lostAt):
		return Lost, now
	case d.probes == 0:
		d.probedAt, d.probes = now, 1
		return Probe, lostAt
	default:
		return Wait, lostAt
	}
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}
