package resume

import "time"

const (
	freeTries   = 3 // keepers asked for a free slot before one is waited at
	maxLosses   = 6 // attempts lost in a row without a token between
	firstPause  = 50 * time.Millisecond
	maxPause    = time.Second
	retryAfter  = time.Second
	maxDoubling = 5
)

// Machine follows one generation. It is not safe for concurrent use.
type Machine struct {
	StartBy    time.Time     // for the first attempt
	AnswerBy   time.Time     // for the whole answer
	ResumeWait time.Duration // how long a resume may wait for a slot

	started  bool // an attempt was started, or may have been
	resuming bool
	startBy  time.Time
	tries    int
	pauses   int
	losses   int
	tokens   int
	avoid    string
	exclude  map[string]bool
}

// Next returns what to do after an event.
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
		return m.try("")
	case Refused:
		return m.refused(now, e)
	case Lost:
		return m.lost(now, e)
	default:
		return m.try("")
	}
}

// MarkStarted records that an attempt runs, so that "not run" is no longer true.
func (m *Machine) MarkStarted() { m.started = true }

// Adopt makes the machine continue a generation that another entry began.
func (m *Machine) Adopt(now time.Time) {
	m.started = true
	m.resuming = true
	m.startBy = now.Add(m.ResumeWait)
}

func (m *Machine) try(prefer string) Action {
	m.tries++
	act := Action{Kind: StartAttempt, Resume: m.resuming, StartBy: m.startBy, Avoid: m.avoid, Prefer: prefer, Exclude: m.exclude}
	if m.tries > freeTries {
		act.Queue, act.Prefer, act.Exclude = true, "", nil
	}
	return act
}

func (m *Machine) refused(now time.Time, e Event) Action {
	if m.exclude == nil {
		m.exclude = make(map[string]bool)
	}
	m.exclude[e.Keeper] = true
	if m.tries <= freeTries {
		if m.exclude[e.Better] {
			e.Better = ""
		}
		return m.try(e.Better)
	}
	pause := min(firstPause<<min(m.pauses, maxDoubling), maxPause)
	m.pauses++
	m.tries = 0
	m.exclude = nil
	until := now.Add(pause)
	if !until.Before(m.startBy) || !m.resuming && e.RetryAt.After(m.startBy) {
		return m.fail(m.code(), now)
	}
	return Action{Kind: Wait, Until: until}
}

func (m *Machine) lost(now time.Time, e Event) Action {
	m.started = true
	m.resuming = true
	if e.Tokens > m.tokens {
		m.losses = 0
	}
	m.tokens = e.Tokens
	m.losses++
	if m.losses > maxLosses {
		return m.fail(Interrupted, now)
	}
	m.tries, m.pauses = 0, 0
	m.exclude = nil
	if e.Server == "" && e.Keeper != "" {
		m.exclude = map[string]bool{e.Keeper: true}
	}
	m.avoid = e.Server
	m.startBy = now.Add(m.ResumeWait)
	return m.try("")
}

func (m *Machine) code() Code {
	if m.resuming {
		return Interrupted
	}
	return Overloaded
}

func (m *Machine) fail(code Code, now time.Time) Action {
	return Action{Kind: Fail, Code: code, NotRun: !m.started, RetryAt: now.Add(retryAfter)}
}
