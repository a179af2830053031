package quarantine

import (
	"slices"
	"sync"
	"time"
)

const (
	// maxWatched bounds the servers with abandoned attempts, and maxAbandoned those of each
	// server, of which the last ones are kept: all may be told to peers if the server is lost.
	maxWatched   = 128
	maxAbandoned = 8
)

// Abandoned holds the attempts that a router has ended lately: their callers left, or their time
// was up. A server that ends afterwards may have been crashed by one of them, which no
// connection tells. A request that servers mostly outlive is not to blame.
type Abandoned struct {
	mu       sync.Mutex
	servers  map[string]*watchedServer
	outcomes outcomes
}

type watchedServer struct {
	attempts []Attempt
	// accepted are attempts since whose end the address has accepted a connection, though the server
	// has not answered: something else may listen there until another incarnation does.
	accepted   []Attempt
	checkedAt  time.Time
	answeredAt time.Time // when the server last answered
	acceptedAt time.Time // when its address last accepted a connection and kept it open
	closedAt   time.Time // since when its address closes connections at once; zero if it does not
}

// lastSign returns the last sign of life, and when it was.
func (s *watchedServer) lastSign() (Sign, time.Time) {
	switch {
	case s.acceptedAt.After(s.answeredAt):
		return Accepted, s.acceptedAt
	case !s.answeredAt.IsZero():
		return Answered, s.answeredAt
	default:
		return Unknown, time.Time{}
	}
}

// watched reports whether there are attempts to watch.
func (s *watchedServer) watched() bool { return len(s.attempts)+len(s.accepted) > 0 }

// lossTime returns the earliest time at which the server may have been lost, and whether the attempt may
// have run then. A loss that is noticed later may have happened earlier, if something else held
// connections at the address.
func (s *watchedServer) lossTime(a *Attempt, accepted bool, sign Sign, lostAt time.Time) (at time.Time, mayHaveRun bool) {
	switch {
	case !lostAt.IsZero() && !lostAt.After(a.runsUntil().Add(noticeTime)):
		return lostAt, true
	case sign == Replaced, sign == Vacated:
		return later(a.At, s.answeredAt), true
	case sign == Removed:
		// A server that leaves may not have said so before, but breaks nothing off by then.
		return later(a.At, s.answeredAt), a.BrokenOff
	default:
		// Unless it is replaced, an address is taken to have accepted connections for its server.
		return later(a.At, later(s.answeredAt, s.acceptedAt)), !accepted
	}
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
		if len(t.servers) >= maxWatched && !t.removeAccepted() {
			return false
		}
		s, watch = &watchedServer{}, true
		t.servers[server] = s
	}
	s.attempts = append(s.attempts, a)
	s.attempts = s.attempts[max(len(s.attempts)-maxAbandoned, 0):]
	return watch
}

// removeAccepted makes room for a server whose attempts may still run, and reports whether it could. The
// caller holds mu.
func (t *Abandoned) removeAccepted() bool {
	for name, s := range t.servers {
		if len(s.attempts) == 0 {
			delete(t.servers, name)
			return true
		}
	}
	return false
}

// NextCheck returns when a server is to be checked, and false if it need not be watched any more.
func (t *Abandoned) NextCheck(server string) (at time.Time, ok bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.servers[server]
	if s == nil {
		return time.Time{}, false
	}
	for _, a := range slices.Concat(s.attempts, s.accepted) {
		if next := a.nextCheck(s.checkedAt); at.IsZero() || next.Before(at) {
			at = next
		}
	}
	if earliest := s.checkedAt.Add(firstCheck); at.Before(earliest) {
		at = earliest
	}
	return at, true
}

// NeedsConnection reports whether a server has attempts of which nothing shows yet that they are over.
func (t *Abandoned) NeedsConnection(server string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.servers[server]
	return s != nil && len(s.attempts) > 0
}

// BrokenOffSince reports whether an attempt at a server broke off later than the server answered last: it
// may be gone, however busy it was.
func (t *Abandoned) BrokenOffSince(server string, answeredAt time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.servers[server]
	return s != nil && slices.ContainsFunc(s.attempts, func(a Attempt) bool { return a.BrokenOff && a.At.After(answeredAt) })
}

// Checked records a check of a server that did not find it gone. aliveAt is when it was last seen
// alive; it is zero if nothing is known. A sign of life from before the end of the time that an
// attempt may run says nothing of it. A connection that is accepted counts for the server, but another
// incarnation may still show that it was not the server. Attempts whose watch is over are removed and
// returned.
func (t *Abandoned) Checked(server string, sign Sign, aliveAt, now time.Time) (ended []WatchEnd) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.servers[server]
	if s == nil {
		return nil
	}
	s.checkedAt = now
	switch sign {
	case Answered:
		s.answeredAt = later(s.answeredAt, aliveAt)
	case Accepted, Unanswered:
		s.acceptedAt = later(s.acceptedAt, aliveAt)
	}
	if _, at := s.lastSign(); at.After(s.closedAt) {
		s.closedAt = time.Time{}
	}
	over := func(a Attempt) bool {
		if s.answeredAt.Before(a.runsUntil()) && now.Before(a.forgottenAt()) {
			return false
		}
		last, at := s.lastSign()
		ended = append(ended, WatchEnd{Attempt: a, Sign: last, SignAt: at})
		return true
	}
	s.accepted = slices.DeleteFunc(s.accepted, over)
	s.attempts = slices.DeleteFunc(s.attempts, func(a Attempt) bool {
		_, at := s.lastSign()
		outlived := !at.Before(a.runsUntil())
		if outlived {
			t.outcomes.addOutlived(a.origin())
		}
		if over(a) {
			return true
		}
		if outlived {
			s.accepted = append(s.accepted, a)
		}
		return outlived
	})
	s.accepted = s.accepted[max(len(s.accepted)-maxAbandoned, 0):]
	if !s.watched() {
		delete(t.servers, server)
	}
	return ended
}

// FoundClosing records that the address of a server accepted a connection and closed it at once. It
// reports whether that shows that the server has ended: another connection was closed before, and the
// server has not answered in between.
func (t *Abandoned) FoundClosing(server string, now time.Time) (ended bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.servers[server]
	if s == nil {
		return false
	}
	if s.closedAt.IsZero() || !s.answeredAt.Before(s.closedAt) {
		s.closedAt = now
	}
	return now.Sub(s.closedAt) >= minClosing
}

// Ended removes a server that has ended by a plan, and returns its attempts.
func (t *Abandoned) Ended(server string, now time.Time) (ended []WatchEnd) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if s := t.servers[server]; s != nil {
		for _, a := range slices.Concat(s.attempts, s.accepted) {
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
	remove := func(accepted bool) func(a Attempt) bool {
		return func(a Attempt) bool {
			if !lostAt.IsZero() && lostAt.Before(a.lostFrom()) {
				return false
			}
			at, mayBeBlamed := s.lossTime(&a, accepted, sign, lostAt)
			end := WatchEnd{Attempt: a, Sign: sign, SignAt: now}
			if !mayBeBlamed {
				ended = append(ended, end)
				return true
			}
			known := slices.ContainsFunc(crashes, func(c Crash) bool { return c.origin() == a.origin() })
			end.Blamed = known || t.outcomes.addLost(a.origin(), now)
			ended = append(ended, end)
			if end.Blamed && !known {
				crashes = append(crashes, Crash{Suspects: a.Suspects, Server: server, At: at, Unanswered: !a.Answered, Abandoned: !a.BrokenOff})
			}
			return true
		}
	}
	s.attempts = slices.DeleteFunc(s.attempts, remove(false))
	s.accepted = slices.DeleteFunc(s.accepted, remove(true))
	if !s.watched() {
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
