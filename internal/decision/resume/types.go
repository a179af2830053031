// Package resume decides what an entry does when an attempt is refused, lost or
// done. It holds no clock and does no I/O.
package resume

import "time"

// EventKind is what happened.
type EventKind string

const (
	// Begin starts a generation.
	Begin EventKind = "Begin"
	// Refused means that an attempt was not run.
	Refused EventKind = "Refused"
	// Lost means that an attempt was started, or may have been, and ended
	// without an end.
	Lost EventKind = "Lost"
	// Done means that the answer is whole.
	Done EventKind = "Done"
	// Tick means that a wait is over.
	Tick EventKind = "Tick"
)

// Event is something that happened to a generation.
type Event struct {
	Kind    EventKind
	Keeper  string
	Server  string
	Better  string    // on Refused, a keeper that may have room
	RetryAt time.Time // on Refused
	Tokens  int       // accepted so far
	Reason  string
}

// ActionKind is what to do next.
type ActionKind string

const (
	// StartAttempt opens an attempt.
	StartAttempt ActionKind = "Try"
	// Wait does nothing until a time.
	Wait ActionKind = "Wait"
	// Finish ends with the whole answer.
	Finish ActionKind = "Finish"
	// Fail ends without it.
	Fail ActionKind = "Fail"
)

// Code says why a generation failed.
type Code string

const (
	// Overloaded means that no server can start it in time.
	Overloaded Code = "Overloaded"
	// Interrupted means that it was lost and can't be resumed.
	Interrupted Code = "Interrupted"
	// TimedOut means that the answer's deadline passed.
	TimedOut Code = "TimedOut"
)

// Action is what to do next.
type Action struct {
	Kind    ActionKind
	Resume  bool            // on Try, the answer has lost an attempt
	StartBy time.Time       // on Try
	Avoid   string          // on Try, the server that was lost
	Prefer  string          // on Try, the keeper that was named as better
	Exclude map[string]bool // on Try, keepers that refused
	Queue   bool            // on Try, wait at the cheapest keeper; else only a free slot will do
	Until   time.Time       // on Wait
	Code    Code            // on Fail
	NotRun  bool            // on Fail, no attempt was ever started
	RetryAt time.Time       // on Fail
}
