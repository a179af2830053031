package claim

import (
	"slices"
	"sync"
	"time"

	"wisteriafield/internal/decision/storehistory"
)

// Consent is a router's reply to the question whether one of its attempts can
// be abandoned.
type Consent string

const (
	// ConsentGiven means that the attempt was never dispatched and never will be.
	ConsentGiven Consent = "Given"
	// ConsentRefused means that the attempt was dispatched, or may have been.
	ConsentRefused Consent = "Refused"
	// ConsentFinished means that the attempt ended; its record holds the
	// outcome.
	ConsentFinished Consent = "Finished"
)

// phase is how far an attempt has come in the table.
type phase string

const (
	registered phase = "Registered"
	dispatched phase = "Dispatched"
	abandoned  phase = "Abandoned"
	ended      phase = "Ended"
)

type entry struct {
	keepUntil time.Time
	phase     phase
	record    Record
	done      chan struct{}
	key       string // in the store; empty until the record is saved
	savedAt   storehistory.Position
}

// AttemptTable holds one router's own attempts in memory. For each attempt,
// Dispatch and Abandon exclude each other permanently: whichever comes first
// wins.
type AttemptTable struct {
	mu      sync.Mutex
	entries map[string]*entry
}

// NewAttemptTable returns an empty table.
func NewAttemptTable() *AttemptTable {
	return &AttemptTable{entries: make(map[string]*entry)}
}

// Register adds an attempt. It must be called before the claim is written, so
// that every claim of this process that can ever be read is in the table. The
// entry is kept until the claim itself may be deleted.
func (t *AttemptTable) Register(attemptID string, keepUntil time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.entries[attemptID] = &entry{keepUntil: keepUntil, phase: registered, done: make(chan struct{})}
}

// Dispatch marks the attempt as dispatched and reports whether its call may be
// sent. It returns true at most once for an attempt, unless UndoDispatch is
// called.
func (t *AttemptTable) Dispatch(attemptID string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.entries[attemptID]
	if e == nil || e.phase != registered {
		return false
	}
	e.phase = dispatched
	return true
}

// UndoDispatch reverts Dispatch. It may only be used for a call of which no
// byte was sent and none can be sent any more.
func (t *AttemptTable) UndoDispatch(attemptID string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if e := t.entries[attemptID]; e != nil && e.phase == dispatched {
		e.phase = registered
	}
}

// Abandon prevents the attempt from ever being dispatched, if it was not
// dispatched yet, and returns whether it did. An attempt that is not in the
// table may have been dispatched, so consent is refused. The record of an
// attempt that ended is returned as well.
func (t *AttemptTable) Abandon(attemptID string) (Consent, Record) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.entries[attemptID]
	if e == nil {
		return ConsentRefused, Record{}
	}
	switch e.phase {
	case registered, abandoned:
		e.phase = abandoned
		return ConsentGiven, Record{}
	case ended:
		return ConsentFinished, e.record
	default:
		return ConsentRefused, Record{}
	}
}

// End records the final state of an attempt and closes its Done channel.
func (t *AttemptTable) End(attemptID string, record Record) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.entries[attemptID]
	if e == nil || e.phase == ended {
		return
	}
	e.phase = ended
	e.record = record
	close(e.done)
}

// MarkSaved remembers where the record of an ended attempt was written.
func (t *AttemptTable) MarkSaved(attemptID, key string, at storehistory.Position) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if e := t.entries[attemptID]; e != nil && e.phase == ended {
		e.key, e.savedAt = key, at
	}
}

// SavedRecord is the record of an ended attempt that was written under a store key.
type SavedRecord struct {
	Key    string
	Record Record
	At     storehistory.Position
}

// SavedBefore returns the records that were last saved in an earlier era, the latest first.
func (t *AttemptTable) SavedBefore(era int64) []SavedRecord {
	t.mu.Lock()
	defer t.mu.Unlock()
	var saved []SavedRecord
	for _, e := range t.entries {
		if e.key != "" && e.savedAt.Era < era {
			saved = append(saved, SavedRecord{e.key, e.record, e.savedAt})
		}
	}
	slices.SortFunc(saved, func(a, b SavedRecord) int {
		if b.At.Before(a.At) {
			return -1
		}
		return 1
	})
	return saved
}

// Dispatchable reports whether the attempt may still be dispatched.
func (t *AttemptTable) Dispatchable(attemptID string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.entries[attemptID]
	return e != nil && e.phase == registered
}

// Done returns a channel that is closed when the attempt ends. It returns nil
// if the attempt is not in the table.
func (t *AttemptTable) Done(attemptID string) <-chan struct{} {
	t.mu.Lock()
	defer t.mu.Unlock()
	if e := t.entries[attemptID]; e != nil {
		return e.done
	}
	return nil
}

// Forget deletes an attempt whose final state is in the store.
func (t *AttemptTable) Forget(attemptID string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.entries, attemptID)
}

// DeleteExpired deletes the attempts whose claims may be deleted by now.
func (t *AttemptTable) DeleteExpired(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for attemptID, e := range t.entries {
		if now.After(e.keepUntil) {
			delete(t.entries, attemptID)
		}
	}
}

// Running returns the number of attempts that were dispatched and have not
// ended.
func (t *AttemptTable) Running() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	var n int
	for _, e := range t.entries {
		if e.phase == dispatched {
			n++
		}
	}
	return n
}

// Len returns the number of attempts in the table.
func (t *AttemptTable) Len() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.entries)
}
