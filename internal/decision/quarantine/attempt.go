package quarantine

import "time"

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
	// minClosing is how long an address must have closed connections to show that its server has
	// ended. It is less than the time between two checks.
	minClosing = firstCheck / 2
	// noticeTime is how long after a crash somebody who waits for an answer may notice it.
	noticeTime = waitingMoment
)

// Attempt is an attempt that a router has ended while its server may have run it, or that broke off.
type Attempt struct {
	Suspects
	At       time.Time // when it ended for the router
	Deadline time.Time // of the request; zero if it has none
	// BrokenOff says that the server ended the attempt's connection, or somebody between: the attempt
	// runs no longer, and what is not known is whether the server has ended.
	BrokenOff bool
	Answered  bool // the server had begun to answer
}

// runsUntil returns until when the server may run the attempt.
func (a *Attempt) runsUntil() time.Time {
	if a.BrokenOff {
		return a.At.Add(sameMoment)
	}
	if a.Deadline.IsZero() {
		return a.At.Add(maxRunTime)
	}
	return a.At.Add(min(max(a.Deadline.Sub(a.At), minRunTime), maxRunTime))
}

// lostFrom returns the earliest time of a loss that may be the attempt's doing.
func (a *Attempt) lostFrom() time.Time {
	if a.BrokenOff {
		return a.At.Add(-noticeTime)
	}
	return a.At
}

// forgottenAt returns when the attempt is not watched any more, though nothing has shown whether
// the server outlived it.
func (a *Attempt) forgottenAt() time.Time { return a.runsUntil().Add(settleTime) }

// nextCheck returns when the server is to be checked after a check at the given time.
func (a *Attempt) nextCheck(checkedAt time.Time) time.Time {
	last := later(a.runsUntil(), a.At.Add(firstCheck))
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
	Answered   Sign = "Answered"   // the server has answered this router
	Accepted   Sign = "Accepted"   // its address accepts connections
	Unanswered Sign = "Unanswered" // its address accepts connections, and the server does not answer there
	Unknown    Sign = "Unknown"    // nothing was learned
	Refused    Sign = "Refused"    // its address refuses connections
	Closed     Sign = "Closed"     // its address closes the connections that it accepts
	Replaced   Sign = "Replaced"   // another incarnation has its address
	Seen       Sign = "Seen"       // somebody who waited for its answer saw it end, here or at a peer
	Removed    Sign = "Removed"    // it is not listed any more
	Vacated    Sign = "Vacated"    // it is not listed any more, and something else holds its address
	Left       Sign = "Left"       // its end was planned
)

// WatchEnd says what ended the watch of an abandoned attempt.
type WatchEnd struct {
	Attempt
	Sign   Sign
	SignAt time.Time // for Unknown, of the last sign of life; zero if there was none
	Blamed bool      // the server was lost, and the attempt may be the cause
}
