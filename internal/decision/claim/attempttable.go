package claim

import (
	"sync"
	"time"
)

// Consent is a router's answer to whether one of its attempts can be given up.
type Consent string

const (
	// ConsentGiven means that the attempt was never dispatched and never will be.
	ConsentGiven Consent = "Given"
	// ConsentRefused means that the attempt was dispatched, or may have been.
	ConsentRefused Consent = "Refused"
	// ConsentFinished means that the attempt ended; the answer is in the outcome.
	ConsentFinished Consent = "Finished"
)

type phase string

const (
	registered phase = "Registered"
	dispatched phase = "Dispatched"
	abandoned  phase = "Abandoned"
	ended      phase = "Ended"
)

type entry struct {
	until  time.Time
	phase  phase
	result Record
	done   chan struct{}
}

// AttemptTable is one router's memory of its own attempts. Dispatch and Abandon exclude
// each other for good: whichever comes first decides.
type AttemptTable struct {
	mu      sync.Mutex
	entries map[string]*entry
}

// NewAttemptTable returns an empty book.
func NewAttemptTable() *AttemptTable {
	return &AttemptTable{entries: make(map[string]*entry)}
}

// Register records an attempt. It comes before the claim is written, so that
// every claim of this process that can ever be seen is in the book. It is kept
// until the claim itself may be deleted.
func (b *AttemptTable) Register(attempt string, until time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.entries[attempt] = &entry{until: until, phase: registered, done: make(chan struct{})}
}

// Dispatch reports whether the attempt's call may be sent. It says yes once.
func (b *AttemptTable) Dispatch(attempt string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	e := b.entries[attempt]
	if e == nil || e.phase != registered {
		return false
	}
	e.phase = dispatched
	return true
}

// UndoDispatch takes Dispatch back. It is for a call of which no byte left and
// none can leave any more.
func (b *AttemptTable) UndoDispatch(attempt string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if e := b.entries[attempt]; e != nil && e.phase == dispatched {
		e.phase = registered
	}
}

// Abandon asks that the attempt never be dispatched.
func (b *AttemptTable) Abandon(attempt string) (Consent, Record) {
	b.mu.Lock()
	defer b.mu.Unlock()
	e := b.entries[attempt]
	if e == nil {
		return ConsentRefused, Record{}
	}
	switch e.phase {
	case registered, abandoned:
		e.phase = abandoned
		return ConsentGiven, Record{}
	case ended:
		return ConsentFinished, e.result
	default:
		return ConsentRefused, Record{}
	}
}

// End records the final state of a dispatched attempt and wakes those who wait.
func (b *AttemptTable) End(attempt string, result Record) {
	b.mu.Lock()
	defer b.mu.Unlock()
	e := b.entries[attempt]
	if e == nil || e.phase == ended {
		return
	}
	e.phase = ended
	e.result = result
	close(e.done)
}

// Dispatchable reports whether the attempt may still be dispatched.
func (b *AttemptTable) Dispatchable(attempt string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	e := b.entries[attempt]
	return e != nil && e.phase == registered
}

// Done returns a channel that is closed when the attempt ends, or nil if the
// book does not know the attempt.
func (b *AttemptTable) Done(attempt string) <-chan struct{} {
	b.mu.Lock()
	defer b.mu.Unlock()
	if e := b.entries[attempt]; e != nil {
		return e.done
	}
	return nil
}

// Forget drops an attempt whose final state is in the store.
func (b *AttemptTable) Forget(attempt string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	delete(b.entries, attempt)
}

// DeleteExpired drops attempts whose claims may be deleted by now.
func (b *AttemptTable) DeleteExpired(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for attempt, e := range b.entries {
		if now.After(e.until) {
			delete(b.entries, attempt)
		}
	}
}

// Running returns the number of attempts that were dispatched and have not
// ended.
func (b *AttemptTable) Running() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	var n int
	for _, e := range b.entries {
		if e.phase == dispatched {
			n++
		}
	}
	return n
}

// Len returns the number of attempts remembered.
func (b *AttemptTable) Len() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.entries)
}
