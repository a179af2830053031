package quarantine

import (
	"slices"
	"sync"
	"time"
)

const (
	// maxRunTime is how long a server may go on with a request that nobody waits for. It knows
	// the request's deadline, and stops within minRunTime after it.
	maxRunTime = 2 * time.Second
	minRunTime = 500 * time.Millisecond
	// firstCheck is how long after an attempt was abandoned its server is checked first. The time
	// to the next check doubles, but for the one at the end of the time that it may run.
	firstCheck = 400 * time.Millisecond
	// settleTime is how long after that time a server is watched of which nothing has shown that
	// it is still there: one that has crashed is back after some seconds. It is checked each
	// settleInterval.
	settleTime     = 4 * time.Second
	settleInterval = 800 * time.Millisecond
	// noticeTime is how long after a crash somebody who waits for an answer may notice it.
	noticeTime = waitingMoment
	// maxWatched bounds the servers with abandoned attempts, and maxAbandoned those of each
	// server, of which the last ones are kept: all may be told to peers if the server is lost.
	maxWatched   = 128
	maxAbandoned = 8
)

// Attempt is an attempt that a router has ended while its server may have run it.
type Attempt struct {
	Suspects
	At       time.Time // when it was ended
	Deadline time.Time // of the request; zero if it has none
}

// runsUntil returns until when the server may run the attempt.
func (a *Attempt) runsUntil() time.Time {
	if a.Deadline.IsZero() {
		return a.At.Add(maxRunTime)
	}
	return a.At.Add(min(max(a.Deadline.Sub(a.At), minRunTime), maxRunTime))
}

// forgottenAt returns when the attempt is not watched any more, though nothing has shown whether
// the server outlived it.
func (a *Attempt) forgottenAt() time.Time { return a.runsUntil().Add(settleTime) }

// nextCheck returns when the server is to be checked after a check at the given time.
func (a *Attempt) nextCheck(checkedAt time.Time) time.Time {
	last := a.runsUntil()
	if !checkedAt.Before(last) {
		if next := checkedAt.Add(settleInterval); next.Before(a.forgottenAt()) {
			return next
		}
		return a.forgottenAt()
	}
	for age := firstCheck; ; age = 2*age + firstCheck {
		next := a.At.Add(age)
		if next.Add(firstCheck).After(last) {
			return last
		}
		if next.After(checkedAt) {
			return next
		}
	}
}

// Sign is what a router learned of a server that has abandoned attempts.
type Sign string

const (
	Answered Sign = "Answered" // the server has answered this router
	Accepted Sign = "Accepted" // its address accepts connections
	Unknown  Sign = "Unknown"  // nothing was learned
	Refused  Sign = "Refused"  // its address refuses connections
	Replaced Sign = "Replaced" // another incarnation has its address
	Seen     Sign = "Seen"     // somebody who waited for its answer saw it end, here or at a peer
	Left     Sign = "Left"     // its end was planned
)

// WatchEnd says what ended the watch of an abandoned attempt.
type WatchEnd struct {
	Attempt
	Sign   Sign
	SignAt time.Time // for Unknown, of the last sign of life; zero if there was none
	Blamed bool      // the server was lost, and the attempt may be the cause
}

// Abandoned holds the attempts that a router has ended lately: their callers left, or their time
// was up. A server that ends afterwards may have been crashed by one of them, which no
// connection tells. A request that servers mostly outlive is not to blame.
type Abandoned struct {
	mu       sync.Mutex
	servers  map[string]*watchedServer
	outcomes outcomes
}

type watchedServer struct {
	attempts  []Attempt
	checkedAt time.Time
	aliveAt   time.Time // when the server was last seen alive
	sign      Sign      // of life, at aliveAt
}

// NewAbandoned returns an empty set.
func NewAbandoned() *Abandoned { return &Abandoned{servers: make(map[string]*watchedServer)} }

// Add adds an attempt at a server. It reports whether the server has to be watched from now on:
// NextCheck says when it is to be checked.
func (t *Abandoned) Add(server string, a Attempt) (watch bool) {
	if len(a.origin()) > maxIDBytes {
		return false
	}
	a.Suspects = a.Suspects.bounded().clone()
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.servers[server]
	if s == nil {
		if len(t.servers) >= maxWatched {
			return false
		}
		s, watch = &watchedServer{}, true
		t.servers[server] = s
	}
	s.attempts = append(s.attempts, a)
	s.attempts = s.attempts[max(len(s.attempts)-maxAbandoned, 0):]
	return watch
}

// NextCheck returns when a server is to be checked, and false if it need not be watched any more.
func (t *Abandoned) NextCheck(server string) (at time.Time, ok bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.servers[server]
	if s == nil {
		return time.Time{}, false
	}
	for i := range s.attempts {
		if next := s.attempts[i].nextCheck(s.checkedAt); at.IsZero() || next.Before(at) {
			at = next
		}
	}
	if earliest := s.checkedAt.Add(firstCheck); at.Before(earliest) {
		at = earliest
	}
	return at, true
}

// Checked records a check of a server that did not find it gone. aliveAt is when it was last seen
// alive; it is zero if nothing is known. A sign of life from before the end of the time that an
// attempt may run says nothing of it. Attempts whose watch is over are removed and returned.
func (t *Abandoned) Checked(server string, sign Sign, aliveAt, now time.Time) (ended []WatchEnd) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.servers[server]
	if s == nil {
		return nil
	}
	s.checkedAt = now
	if aliveAt.After(s.aliveAt) {
		s.aliveAt, s.sign = aliveAt, sign
	}
	s.attempts = slices.DeleteFunc(s.attempts, func(a Attempt) bool {
		switch {
		case !s.aliveAt.Before(a.runsUntil()):
			t.outcomes.addOutlived(a.origin())
			ended = append(ended, WatchEnd{Attempt: a, Sign: s.sign, SignAt: s.aliveAt})
		case !now.Before(a.forgottenAt()):
			ended = append(ended, WatchEnd{Attempt: a, Sign: Unknown, SignAt: s.aliveAt})
		default:
			return false
		}
		return true
	})
	if len(s.attempts) == 0 {
		delete(t.servers, server)
	}
	return ended
}

// Ended removes a server that has ended by a plan, and returns its attempts.
func (t *Abandoned) Ended(server string, now time.Time) (ended []WatchEnd) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if s := t.servers[server]; s != nil {
		for _, a := range s.attempts {
			ended = append(ended, WatchEnd{Attempt: a, Sign: Left, SignAt: now})
		}
		delete(t.servers, server)
	}
	return ended
}

// Lost records that a server was lost unplanned, and returns the crashes for which its abandoned
// attempts may be to blame, and the attempts that it removes. lostAt is when it was lost; it is zero
// if that is only known to be before now. Attempts that were abandoned later remain.
func (t *Abandoned) Lost(server string, sign Sign, lostAt, now time.Time) (crashes []Crash, ended []WatchEnd) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.servers[server]
	if s == nil {
		return nil, nil
	}
	s.attempts = slices.DeleteFunc(s.attempts, func(a Attempt) bool {
		at := lostAt
		if at.IsZero() {
			at = later(a.At, s.aliveAt)
		}
		switch {
		case at.Before(a.At):
			return false
		case at.After(a.runsUntil().Add(noticeTime)):
			t.outcomes.addOutlived(a.origin())
			ended = append(ended, WatchEnd{Attempt: a, Sign: sign, SignAt: at})
			return true
		}
		known := slices.ContainsFunc(crashes, func(c Crash) bool { return c.origin() == a.origin() })
		blamed := known || t.outcomes.addLost(a.origin(), now)
		ended = append(ended, WatchEnd{Attempt: a, Sign: sign, SignAt: now, Blamed: blamed})
		if blamed && !known {
			crashes = append(crashes, Crash{Suspects: a.Suspects, Server: server, At: at, Unanswered: true, Abandoned: true})
		}
		return true
	})
	if len(s.attempts) == 0 {
		delete(t.servers, server)
	}
	return crashes, ended
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
