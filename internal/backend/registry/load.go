package registry

import (
	"sync"
	"sync/atomic"
	"time"

	"wisteriafield/internal/base/ewma"
)

const (
	latencyWeight = 0.1 // share of the newest answer time
	errorWeight   = 0.1 // share of the newest outcome
	// runErrorWeight is the share of the newest generation: an engine has few.
	runErrorWeight = 0.3
	paceFall       = 0.3 // share of a shorter gap in the pace
	paceRise       = 0.1 // share of a longer gap: prompts being read stretch it
	// paceStretch is how many events one measure of the pace takes: single gaps
	// are short where a link held events up.
	paceStretch = 8

	// downStep rounds what peers are told of a time, so that it is not news at
	// each exchange.
	downStep = 500 * time.Millisecond
)

// Load is what this router knows of one server's work and condition.
type Load struct {
	changes atomic.Uint64 // of what peers are told

	mu        sync.Mutex
	inFlight  int
	latency   time.Duration // of a plain answer
	errors    float64       // share of failed answers, lately
	pace      time.Duration // between events, while nothing disturbs
	prompts   int           // tokens of own prompts not yet read
	memory    int           // tokens of own runs
	copies    int           // tokens of copies that own runs keep there
	runs      int
	downUntil time.Time
	downShared     bool // this router found it down
	fullUntil time.Time
	peers     Share // what other routers have there
}

// State is a Load at one moment.
type State struct {
	InFlight     int           // requests to a service in flight, sent by all routers
	Running      int           `json:"Runs"`
	QueuedTokens int           `json:"Prompts"` // prompt tokens that the engine has not prefilled yet
	UsedTokens   int           `json:"Memory"`  // tokens in the KV cache, of attempts and backups
	Latency      time.Duration // mean of recent answers; 0 if there are none
	ErrorRate    float64       `json:"Errors"`
	Pace         time.Duration // pace (inter-token latency): mean time between two events
	Down         bool
	Full         bool
}

// State returns the load at a moment.
func (l *Load) State(now time.Time) State {
	l.mu.Lock()
	defer l.mu.Unlock()
	pace := l.pace
	if pace == 0 {
		pace = time.Duration(l.peers.PaceMs) * time.Millisecond
	}
	return State{
		InFlight:     l.inFlight + l.peers.InFlight,
		Running:      l.runs + l.peers.Running,
		QueuedTokens: l.prompts + l.peers.QueuedTokens,
		UsedTokens:   l.memory + l.copies + l.peers.UsedTokens,
		Latency:      l.latency,
		ErrorRate:    l.errors,
		Pace:         pace,
		Down:         now.Before(l.downUntil),
		Full:         now.Before(l.fullUntil),
	}
}

// OwnShare returns this router's part, to tell peers.
func (l *Load) OwnShare(now time.Time) Share {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := Share{
		InFlight: l.inFlight, Running: l.runs, QueuedTokens: l.prompts, UsedTokens: l.memory + l.copies,
	}
	if l.runs > 0 {
		s.PaceMs = int(l.pace / time.Millisecond)
	}
	if l.downShared && now.Before(l.downUntil) {
		s.DownMs = l.downUntil.Sub(now).Round(downStep).Milliseconds()
	}
	return s
}

// SetPeerShare replaces what the other routers have there. A known pace stays, since
// peers tell it only while they have runs there.
func (l *Load) SetPeerShare(s Share) {
	l.mu.Lock()
	if s.PaceMs == 0 {
		s.PaceMs = l.peers.PaceMs
	}
	l.peers = s
	l.mu.Unlock()
}

// inherit takes over what stays true of a server that started again.
func (l *Load) inherit(before *Load) {
	before.mu.Lock()
	defer before.mu.Unlock()
	l.pace, l.latency = before.pace, before.latency
	l.peers.PaceMs = before.peers.PaceMs
}

// BeginRequest counts a plain request in.
func (l *Load) BeginRequest() {
	l.mu.Lock()
	l.inFlight++
	l.mu.Unlock()
}

// EndRequest counts a plain request out. A latency of 0 is not an answer.
func (l *Load) EndRequest(latency time.Duration, failed bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.inFlight--
	if latency > 0 {
		l.latency = ewma.Blend(l.latency, latency, latencyWeight)
	}
	outcome := 0.0
	if failed {
		outcome = 1
	}
	l.errors = (1-errorWeight)*l.errors + errorWeight*outcome
}

// MarkDown takes the server out until a time, as a peer found.
func (l *Load) MarkDown(until time.Time) {
	l.mu.Lock()
	l.downUntil, l.downShared = until, false
	l.mu.Unlock()
}

// MarkDownAndShare takes the server out until a time, as this router found; peers are
// told.
func (l *Load) MarkDownAndShare(until time.Time) {
	l.changes.Add(1)
	l.mu.Lock()
	l.downUntil, l.downShared = until, true
	l.mu.Unlock()
}

// MarkFull notes that the server refused for want of room.
func (l *Load) MarkFull(until time.Time) {
	l.mu.Lock()
	l.fullUntil = until
	l.mu.Unlock()
}

// Attempt is one generation's share of a load. It is not safe for concurrent use.
type Attempt struct {
	load    *Load
	prompt  int
	held    int
	started bool
	paceAt  time.Time // when the stretch of events began that is measured
	events  int       // of the stretch
}

// BeginAttempt counts a generation in, with the tokens it has to read first.
func (l *Load) BeginAttempt(unread, memory int) *Attempt {
	l.changes.Add(1)
	l.mu.Lock()
	l.runs++
	l.prompts += unread
	l.memory += memory
	l.mu.Unlock()
	return &Attempt{load: l, prompt: unread, held: memory}
}

// RecordEvent notes an event of the generation.
func (r *Attempt) RecordEvent(now time.Time, tokens int) {
	r.load.mu.Lock()
	defer r.load.mu.Unlock()
	if !r.started {
		r.started = true
		r.load.changes.Add(1)
		r.load.prompts -= r.prompt
		r.paceAt, r.events = now, 0
	} else if r.events++; r.events == paceStretch {
		gap := now.Sub(r.paceAt) / paceStretch
		weight := paceRise
		if gap < r.load.pace {
			weight = paceFall
		}
		r.load.pace = ewma.Blend(r.load.pace, gap, weight)
		r.paceAt, r.events = now, 0
	}
	r.held += tokens
	r.load.memory += tokens
}

// End counts the generation out.
func (r *Attempt) End() {
	r.load.changes.Add(1)
	r.load.mu.Lock()
	defer r.load.mu.Unlock()
	r.load.runs--
	r.load.memory -= r.held
	if !r.started {
		r.load.prompts -= r.prompt
	}
}

// RecordOutcome notes whether a generation ended well or its answer was lost.
func (l *Load) RecordOutcome(failed bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	outcome := 0.0
	if failed {
		outcome = 1
	}
	l.errors = (1-runErrorWeight)*l.errors + runErrorWeight*outcome
}

// ReserveBackup counts a copy's memory in, and returns the function that counts it
// out.
func (l *Load) ReserveBackup(tokens int) func() {
	l.mu.Lock()
	l.copies += tokens
	l.mu.Unlock()
	return func() {
		l.mu.Lock()
		l.copies -= tokens
		l.mu.Unlock()
	}
}
