// Package enginesim simulates fleets of engines without a network, to compare ways of placing
// attempts.
package enginesim

import (
	"math"
	"time"

	"wisteriafield/internal/decision/balance"
	"wisteriafield/internal/decision/enginespeed"
)

const (
	chunkTokens = 125  // of a prompt that one step prefills
	chunkMs     = 25.0 // by which a step with such a chunk is longer
	capacity    = 55_000
	// remembered is how long ended attempts are kept, for loads that are old.
	remembered = 500.0
	// speedEvents and paceEvents are the events of one sample of the token time and of the pace.
	speedEvents = 4
	paceEvents  = 8
	// keptReports is how many reports of an engine's speed its owner keeps.
	keptReports = 3
)

// attempt is an attempt at one engine. Times are in ms.
type attempt struct {
	at, firstAt, endAt float64 // firstAt and endAt are infinite until then
	prompt, promptLeft int
	output, done       int
	resumed            bool // from a backup, after a crash
	router             int
	alone              bool // no other prompt of its router waited at its arrival
	speedAt, paceAt    float64
	speedN, paceN      int // events of the current samples
}

// engine decodes in steps, each of which gives every running stream a token. While prompts wait,
// in the order of their arrival, each step prefills a chunk of one too.
type engine struct {
	fleet    *Fleet
	domain   int
	factor   float64 // of the fleet's step time
	now      float64
	downTill float64
	attempts []*attempt
	trackers []enginespeed.Tracker // of the routers
	reported []enginespeed.Speed   // to its owner, at the end of attempts
	pace     float64
	known    float64 // factor by which the known speed is wrong
}

func (e *engine) advance(to float64) {
	for e.now < to {
		var prefilled *attempt
		running := 0
		for _, a := range e.attempts {
			switch {
			case !math.IsInf(a.endAt, 1):
			case a.promptLeft == 0:
				running++
			case prefilled == nil:
				prefilled = a
			}
		}
		if running == 0 && prefilled == nil {
			e.now = to
			return
		}
		step := e.fleet.StepMs
		if prefilled != nil {
			step += chunkMs
		}
		e.now += step * e.factor
		for _, a := range e.attempts {
			if math.IsInf(a.endAt, 1) && a.promptLeft == 0 {
				e.generate(a)
			}
		}
		if prefilled != nil {
			prefilled.promptLeft = max(0, prefilled.promptLeft-chunkTokens)
		}
	}
}

// generate gives an attempt a token, and measures as routers do.
func (e *engine) generate(a *attempt) {
	a.done++
	if a.done%e.fleet.EventTokens == 0 {
		e.event(a)
	}
	if a.done >= a.output {
		a.endAt = e.now
		e.report(a)
	}
}

func (e *engine) event(a *attempt) {
	if math.IsInf(a.firstAt, 1) {
		a.firstAt, a.speedAt, a.paceAt = e.now, e.now, e.now
		if !a.resumed {
			e.trackers[a.router].RecordFirstEvent(a.prompt, ms(e.now-a.at), a.alone)
		}
		return
	}
	if a.speedN++; a.speedN == speedEvents {
		e.trackers[a.router].RecordEvents(speedEvents*e.fleet.EventTokens, ms(e.now-a.speedAt))
		a.speedAt, a.speedN = e.now, 0
	}
	if a.paceN++; a.paceN == paceEvents { // as registry.Attempt.RecordEvent
		gap, weight := (e.now-a.paceAt)/paceEvents, 0.1
		if gap < e.pace {
			weight = 0.3
		}
		if e.pace == 0 {
			weight = 1
		}
		e.pace += weight * (gap - e.pace)
		a.paceAt, a.paceN = e.now, 0
	}
}

// load returns the engine's load at a time that is not long past.
func (e *engine) load(at float64) balance.Engine {
	c := balance.Engine{Slots: e.fleet.Slots, Capacity: capacity, Pace: ms(e.pace)}
	for _, a := range e.attempts {
		if a.at > at || a.endAt <= at {
			continue
		}
		c.Running++
		c.UsedTokens += a.prompt + a.done
		if a.firstAt > at && !a.resumed {
			c.QueuedTokens += a.prompt
		}
	}
	return c
}

// report tells the owner what a router has learned by the end of an attempt.
func (e *engine) report(a *attempt) {
	if s := e.trackers[a.router].Speed(); s.TokenTime > 0 {
		if len(e.reported) == keptReports {
			e.reported = e.reported[1:]
		}
		e.reported = append(e.reported, s)
	}
}

// queued returns how many prompts of a router wait.
func (e *engine) queued(at float64, router int) int {
	n := 0
	for _, a := range e.attempts {
		if a.router == router && a.firstAt > at && a.endAt > at && !a.resumed {
			n++
		}
	}
	return n
}

// speed returns what is known of the engine's speed.
func (e *engine) speed() enginespeed.Speed {
	if e.fleet.Learn {
		return enginespeed.Median(e.reported)
	}
	k := e.factor * e.known
	return enginespeed.Speed{TokenTime: ms(e.fleet.StepMs * k), PrefillTokensPerMs: chunkTokens / ((e.fleet.StepMs + chunkMs) * k)}
}

// forget removes the attempts that ended long before a time, and returns them.
func (e *engine) forget(now float64) []*attempt {
	var kept, ended []*attempt
	for _, a := range e.attempts {
		if a.endAt > now-remembered {
			kept = append(kept, a)
		} else {
			ended = append(ended, a)
		}
	}
	e.attempts = kept
	return ended
}

func ms(x float64) time.Duration { return time.Duration(x * float64(time.Millisecond)) }
