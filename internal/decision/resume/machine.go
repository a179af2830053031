package resume

import "time"

const (
	maxKeepersAsked      = 3 // for a free slot, before the request joins the queue of one keeper
	maxConsecutiveLosses = 6 // attempts lost in a row without a new token, but for silences and lost keepers

	// Exponential backoff, used once a keeper has refused to queue the request, or several
	// keepers were lost in a row.
	firstDelay        = 50 * time.Millisecond
	maxDelay          = time.Second
	maxDelayDoublings = 5

	callerRetryDelay = time.Second // after which a caller may retry a failed request
)

// Machine is the state machine of one generation at its entry. It is not safe
// for concurrent use.
type Machine struct {
	StartBy    time.Time     // deadline for the start of the first attempt
	AnswerBy   time.Time     // deadline for the complete answer
	ResumeWait time.Duration // how long a resume may wait for a slot

	started           bool      // an attempt was started, or may have been
	resuming          bool      // an attempt was lost
	startBy           time.Time // deadline for the start of the next attempt
	keepersAsked      int       // since the last loss or wait
	waits             int       // since the last loss
	consecutiveLosses int       // without a new token
	keepersLost       int       // without a new token
	acceptedTokens    int
	avoid             string          // the server that was lost last, if known
	exclude           map[string]bool // keepers that refused or were lost
}

// Next returns the action that follows an event.
func (m *Machine) Next(now time.Time, e Event) Action {
	if e.Kind == Done {
		return Action{Kind: Finish}
	}
	if !now.Before(m.AnswerBy) {
		return m.fail(TimedOut, now)
	}
	switch e.Kind {
	case Begin:
		m.startBy = m.StartBy
		return m.startAttempt("")
	case Refused:
		return m.onRefused(now, e)
	case Lost:
		return m.onLost(now, e)
	default:
		return m.startAttempt("")
	}
}

// MarkStarted records that an attempt runs, so that a failure is no longer
// reported as not run.
func (m *Machine) MarkStarted() { m.started = true }

// Adopt makes the machine continue a generation that another entry started.
func (m *Machine) Adopt(now time.Time) {
	m.started = true
	m.resuming = true
	m.startBy = now.Add(m.ResumeWait)
}

// Quarantine returns the action that ends a generation whose request crashes servers and
// must not be sent to one until the given time.
func (m *Machine) Quarantine(until time.Time) Action {
	return Action{Kind: Fail, Code: Quarantined, NotRun: !m.started, RetryAt: until}
}

func (m *Machine) startAttempt(prefer string) Action {
	m.keepersAsked++
	action := Action{Kind: StartAttempt, Resume: m.resuming, StartBy: m.startBy, Avoid: m.avoid, Prefer: prefer, Exclude: m.exclude}
	if m.keepersAsked > maxKeepersAsked {
		action.Queue, action.Prefer, action.Exclude = true, "", nil
	}
	return action
}

func (m *Machine) onRefused(now time.Time, e Event) Action {
	if m.exclude == nil {
		m.exclude = make(map[string]bool)
	}
	m.exclude[e.Keeper] = true
	if m.keepersAsked <= maxKeepersAsked {
		if m.exclude[e.BetterKeeper] {
			e.BetterKeeper = ""
		}
		return m.startAttempt(e.BetterKeeper)
	}
	delay := backoff(m.waits)
	m.waits++
	m.keepersAsked = 0
	m.exclude = nil
	until := now.Add(delay)
	if !until.Before(m.startBy) || !m.resuming && e.RetryAt.After(m.startBy) {
		return m.fail(m.failureCode(), now)
	}
	return Action{Kind: Wait, Until: until}
}

func (m *Machine) onLost(now time.Time, e Event) Action {
	m.started = true
	m.resuming = true
	if e.Tokens > m.acceptedTokens {
		m.consecutiveLosses, m.keepersLost = 0, 0
	}
	m.acceptedTokens = e.Tokens
	switch {
	case e.KeeperGone:
		m.keepersLost++
	case !e.Silent:
		m.consecutiveLosses++
	}
	if m.consecutiveLosses > maxConsecutiveLosses {
		return m.fail(Interrupted, now)
	}
	m.keepersAsked, m.waits = 0, 0
	m.exclude = nil
	if e.Server == "" && e.Keeper != "" {
		m.exclude = map[string]bool{e.Keeper: true}
	}
	m.avoid = e.Server
	m.startBy = now.Add(m.ResumeWait)
	if e.KeeperGone && m.keepersLost > maxKeepersAsked {
		return Action{Kind: Wait, Until: now.Add(backoff(m.keepersLost - maxKeepersAsked - 1))}
	}
	return m.startAttempt("")
}

// backoff returns the delay before the next attempt after n others.
func backoff(n int) time.Duration {
	return min(firstDelay<<min(n, maxDelayDoublings), maxDelay)
}

func (m *Machine) failureCode() Code {
	if m.resuming {
		return Interrupted
	}
	return Overloaded
}

func (m *Machine) fail(code Code, now time.Time) Action {
	return Action{Kind: Fail, Code: code, NotRun: !m.started, RetryAt: now.Add(callerRetryDelay)}
}
