package registry

import (
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"wisteriafield/internal/base/ewma"
	"wisteriafield/internal/decision/enginespeed"
)

// Weights of the newest value in the moving averages.
const (
	latencyWeight = 0.1
	errorWeight   = 0.1
	// attemptErrorWeight is higher than errorWeight, since an engine runs few
	// generations.
	attemptErrorWeight = 0.3
	paceFallWeight     = 0.3 // of a shorter pace
	paceRiseWeight     = 0.1 // of a longer pace: prompts that the engine prefills stretch it
	// paceSampleEvents is the number of events over which one pace sample is taken:
	// single gaps are short where a link held events up.
	paceSampleEvents = 8
	// speedSampleEvents is the same for a sample of the speed, whose outliers do not count.
	speedSampleEvents = 4

	// downRounding rounds the remaining down time in a Share, so that the share does
	// not change at each exchange with peers.
	downRounding = 500 * time.Millisecond
)

// Load is what this router knows of the load and health of one server.
type Load struct {
	changes atomic.Uint64 // changes of the share that peers receive

	mu           sync.Mutex
	inFlight     int
	latency      time.Duration // moving average of the time to a service's answer
	errorRate    float64       // moving average of failed or lost answers, 0 to 1
	pace         time.Duration // moving average of the time between two events while nothing disturbs them
	speed        enginespeed.Tracker
	queuedTokens int // prompt tokens of this router's attempts, not prefilled yet
	usedTokens   int // KV cache tokens of this router's attempts
	backupTokens int // KV cache tokens of backups that this router's attempts keep there
	running      int // this router's attempts
	downUntil    time.Time
	downShared   bool // peers are notified that the server is down
	fullUntil    time.Time
	answeredAt   time.Time           // when the server last answered this router
	peers        Share               // sum of the other routers' shares
	peerSpeeds   []enginespeed.Speed // the newest that peers have measured
}

// State is a snapshot of a Load, with the shares of all routers added up.
type State struct {
	InFlight     int           // requests to a service in flight
	Running      int           `json:"Runs"`    // running attempts
	QueuedTokens int           `json:"Prompts"` // prompt tokens that the engine has not prefilled yet
	UsedTokens   int           `json:"Memory"`  // KV cache tokens of attempts and backups
	Latency      time.Duration // moving average of the time to a service's answer
	ErrorRate    float64       `json:"Errors"` // moving average of failed or lost answers, 0 to 1
	Pace         time.Duration // pace (inter-token latency): mean time between two events
	Down         bool          // not to be used, since it failed
	Full         bool          // refused a request for lack of capacity
}

// State returns the load at the given time.
func (l *Load) State(now time.Time) State {
	l.mu.Lock()
	defer l.mu.Unlock()
	pace := l.pace
	if pace == 0 {
		pace = time.Duration(l.peers.PaceMs) * time.Millisecond
	}
	return State{
		InFlight:     l.inFlight + l.peers.InFlight,
		Running:      l.running + l.peers.Running,
		QueuedTokens: l.queuedTokens + l.peers.QueuedTokens,
		UsedTokens:   l.usedTokens + l.backupTokens + l.peers.UsedTokens,
		Latency:      l.latency,
		ErrorRate:    l.errorRate,
		Pace:         pace,
		Down:         now.Before(l.downUntil),
		Full:         now.Before(l.fullUntil),
	}
}

// OwnShare returns this router's share of the load, which is sent to peers.
func (l *Load) OwnShare(now time.Time) Share {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := Share{
		InFlight: l.inFlight, Running: l.running, QueuedTokens: l.queuedTokens, UsedTokens: l.usedTokens + l.backupTokens,
	}
	if l.running > 0 {
		s.PaceMs = int(l.pace / time.Millisecond)
	}
	if l.downShared && now.Before(l.downUntil) {
		s.DownMs = l.downUntil.Sub(now).Round(downRounding).Milliseconds()
	}
	return s
}

// SetPeerShare replaces the sum of the other routers' shares. A known pace is kept if
// the new sum has none, since peers send it only while they have running attempts there.
func (l *Load) SetPeerShare(s Share) {
	l.mu.Lock()
	if s.PaceMs == 0 {
		s.PaceMs = l.peers.PaceMs
	}
	l.peers = s
	l.mu.Unlock()
}

// inherit copies what stays valid after the server has restarted: pace, speed and latency.
func (l *Load) inherit(previous *Load) {
	previous.mu.Lock()
	defer previous.mu.Unlock()
	l.pace, l.latency, l.peerSpeeds = previous.pace, previous.latency, slices.Clone(previous.peerSpeeds)
	l.peers.PaceMs = previous.peers.PaceMs
	l.speed = previous.speed.Restarted()
}

// BeginRequest counts a request to a service as in flight.
func (l *Load) BeginRequest() {
	l.mu.Lock()
	l.inFlight++
	l.mu.Unlock()
}

// RecordAnswer records that the server has sent a part of an answer.
func (l *Load) RecordAnswer(now time.Time) {
	l.mu.Lock()
	l.answeredAt = now
	l.mu.Unlock()
}

// EndRequest counts a request to a service as ended. A latency of 0 means that there is
// no answer to measure.
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
	l.errorRate = (1-errorWeight)*l.errorRate + errorWeight*outcome
}

// MarkDown marks the server as down until the given time, as far as this router is
// concerned: peers are not notified. It is for what a peer reported, and for a failure
// that may be due to a lost packet.
func (l *Load) MarkDown(until time.Time) {
	l.mu.Lock()
	l.downUntil, l.downShared = until, false
	l.mu.Unlock()
}

// MarkDownAndShare marks the server as down until the given time. Peers are notified
// with the next share.
func (l *Load) MarkDownAndShare(until time.Time) {
	l.changes.Add(1)
	l.mu.Lock()
	l.downUntil, l.downShared = until, true
	l.mu.Unlock()
}

// MarkFull records that the server refused a request for lack of capacity.
func (l *Load) MarkFull(until time.Time) {
	l.mu.Lock()
	l.fullUntil = until
	l.mu.Unlock()
}

// Attempt is the load that one attempt of a generation puts on an engine. It is not
// safe for concurrent use.
type Attempt struct {
	load         *Load
	queuedTokens int
	usedTokens   int
	prefilled    bool      // the first event has arrived
	sampleStart  time.Time // start of the current pace sample
	sampleEvents int       // events of the current pace sample
	alone        bool      // no other prompt was known to be queued at the beginning
	sentAt       time.Time // zero if not known
	speedStart   time.Time // start of the current speed sample
	speedEvents  int       // events of the current speed sample
	speedTokens  int       // output tokens of the current speed sample
}

// BeginAttempt counts an attempt of a generation as running. The engine has to prefill
// the queued tokens, and the prompt occupies the used tokens of its KV cache.
func (l *Load) BeginAttempt(queued, used int) *Attempt {
	l.changes.Add(1)
	l.mu.Lock()
	defer l.mu.Unlock()
	a := &Attempt{load: l, queuedTokens: queued, usedTokens: used, alone: l.queuedTokens+l.peers.QueuedTokens == 0}
	l.running++
	l.queuedTokens += queued
	l.usedTokens += used
	return a
}

// RecordSent records when the attempt was sent to the engine.
func (a *Attempt) RecordSent(at time.Time) { a.sentAt = at }

// RecordEvent records an event of the attempt, which adds tokens to the KV cache. The
// first event shows that the prompt is prefilled.
func (a *Attempt) RecordEvent(now time.Time, tokens int) {
	a.load.mu.Lock()
	defer a.load.mu.Unlock()
	a.recordSpeed(now, tokens)
	if !a.prefilled {
		a.prefilled = true
		a.load.changes.Add(1)
		a.load.queuedTokens -= a.queuedTokens
		a.sampleStart, a.sampleEvents = now, 0
	} else if a.sampleEvents++; a.sampleEvents == paceSampleEvents {
		gap := now.Sub(a.sampleStart) / paceSampleEvents
		weight := paceRiseWeight
		if gap < a.load.pace {
			weight = paceFallWeight
		}
		a.load.pace = ewma.Blend(a.load.pace, gap, weight)
		a.sampleStart, a.sampleEvents = now, 0
	}
	a.usedTokens += tokens
	a.load.usedTokens += tokens
}

// recordSpeed records what an event shows of the engine's speed. The caller holds the lock.
func (a *Attempt) recordSpeed(now time.Time, tokens int) {
	if !a.prefilled {
		if !a.sentAt.IsZero() {
			a.load.speed.RecordFirstEvent(a.queuedTokens, now.Sub(a.sentAt), a.alone)
		}
		a.speedStart = now
		return
	}
	a.speedTokens += tokens
	if a.speedEvents++; a.speedEvents == speedSampleEvents {
		a.load.speed.RecordEvents(a.speedTokens, now.Sub(a.speedStart))
		a.speedStart, a.speedEvents, a.speedTokens = now, 0, 0
	}
}

// End counts the attempt as ended.
func (a *Attempt) End() {
	a.load.changes.Add(1)
	a.load.mu.Lock()
	defer a.load.mu.Unlock()
	a.load.running--
	a.load.usedTokens -= a.usedTokens
	if !a.prefilled {
		a.load.queuedTokens -= a.queuedTokens
	}
}

// RecordOutcome updates the error rate with an attempt of a generation: it failed if
// its answer was lost.
func (l *Load) RecordOutcome(failed bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	outcome := 0.0
	if failed {
		outcome = 1
	}
	l.errorRate = (1-attemptErrorWeight)*l.errorRate + attemptErrorWeight*outcome
}

// ReserveBackup counts the KV cache tokens of a backup at this server, and returns the
// function that releases them.
func (l *Load) ReserveBackup(tokens int) func() {
	l.mu.Lock()
	l.backupTokens += tokens
	l.mu.Unlock()
	return func() {
		l.mu.Lock()
		l.backupTokens -= tokens
		l.mu.Unlock()
	}
}
