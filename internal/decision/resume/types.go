// Package resume decides what an entry does next when an attempt is refused,
// lost or done. It reads no clock and does no I/O.
package resume

import "time"

// EventKind is what happened to a generation.
type EventKind string

const (
	// Begin starts a generation.
	Begin EventKind = "Begin"
	// Refused means that an attempt was not run.
	Refused EventKind = "Refused"
	// Lost means that an attempt was started, or may have been, and broke off
	// before its answer was complete.
	Lost EventKind = "Lost"
	// Done means that the answer is complete.
	Done EventKind = "Done"
	// Tick means that the time of a Wait action has come.
	Tick EventKind = "Tick"
)

// Event is something that happened to a generation.
type Event struct {
	Kind         EventKind
	Keeper       string    // where the attempt was refused or lost, if known
	Server       string    // where the attempt was refused or lost, if known
	BetterKeeper string    // on Refused, a keeper that may have a free slot
	RetryAt      time.Time // on Refused, when a retry may succeed
	Tokens       int       // accepted so far
	Silent       bool      // on Lost, the server was silent and may be sound
	KeeperGone   bool      // on Lost, the keeper did not answer or broke off; nothing is known of the server
	Reason       string    // on Refused and Lost
}

// ActionKind is what the entry has to do next.
type ActionKind string

const (
	// StartAttempt starts an attempt at a keeper.
	StartAttempt ActionKind = "Try"
	// Wait does nothing until the time in Action.Until.
	Wait ActionKind = "Wait"
	// Finish ends the generation with the complete answer.
	Finish ActionKind = "Finish"
	// Fail ends the generation with an incomplete answer or none.
	Fail ActionKind = "Fail"
)

// Code is the reason why a generation failed.
type Code string

const (
	// Overloaded means that no server can start the generation in time.
	Overloaded Code = "Overloaded"
	// Interrupted means that an attempt was lost and the generation can't be
	// resumed.
	Interrupted Code = "Interrupted"
	// Quarantined means that the request crashes servers.
	Quarantined Code = "Quarantined"
	// TimedOut means that the deadline for the complete answer passed.
	TimedOut Code = "TimedOut"
)

// Action is what the entry has to do next, with its details.
type Action struct {
	Kind    ActionKind
	Resume  bool            // on StartAttempt, an earlier attempt was lost
	StartBy time.Time       // on StartAttempt, deadline for its start
	Avoid   string          // on StartAttempt, the server that was lost last
	Prefer  string          // on StartAttempt, the keeper that a refusal named as better
	Exclude map[string]bool // on StartAttempt, keepers not to ask
	Queue   bool            // on StartAttempt, wait at the cheapest keeper; otherwise only a free slot is accepted
	Until   time.Time       // on Wait
	Code    Code            // on Fail
	NotRun  bool            // on Fail, no attempt was ever started
	RetryAt time.Time       // on Fail, when the caller may retry
}
