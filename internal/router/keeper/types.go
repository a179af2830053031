package keeper

import (
	"time"

	"wisteriafield/internal/decision/admission"
	"wisteriafield/internal/decision/generation"
)

// Request asks a keeper to run one attempt of a generation.
type Request struct {
	Generation   string
	Attempt      string
	Organisation string
	Weight       float64
	Digest       string // of the caller's request body
	Class        admission.Class
	Model        string
	Version      string
	Adapter      string
	Prompt       string
	Segments     []generation.Segment // accepted so far
	MaxTokens    int
	StartBy      time.Time
	OnlyFree     bool      // refuse the attempt unless a slot is free
	Servers      []string  // servers that the entry expects this keeper to manage
	Avoid        string    // server on which an earlier attempt was lost
	Replaces     *Replaced // attempt to cancel at its engine
}

// Replaced names an earlier attempt that a new attempt replaces, and its server.
type Replaced struct {
	Server  string
	Attempt string
}

// Accepted returns the number of tokens accepted so far.
func (r *Request) Accepted() int {
	var n int
	for _, segment := range r.Segments {
		n += len(segment.Tokens)
	}
	return n
}

// ModelKey returns the key of a model version with an adapter. A server can run
// a request if it carries the request's key.
func ModelKey(model, version, adapter string) string {
	return model + "@" + version + "+" + adapter
}

// EventKind is the type of an event of an attempt.
type EventKind string

const (
	// Started means that an engine began to run the attempt.
	Started EventKind = "Started"
	// Prefix carries the segments of a replica; it is the first event for a
	// reader of an existing replica.
	Prefix EventKind = "Prefix"
	// Token carries one token.
	Token EventKind = "Token"
	// Heartbeat means that the keeper is alive but has nothing else to send.
	Heartbeat EventKind = "Beat"
	// Done means that the answer is complete.
	Done EventKind = "Done"
	// Refused means that no engine ran the attempt.
	Refused EventKind = "Refused"
	// Lost means that the attempt failed after it was started.
	Lost EventKind = "Lost"
)

// Event is a message from a keeper to an entry about one attempt.
type Event struct {
	Kind         EventKind
	Token        generation.Token
	Segments     []generation.Segment
	Attempt      string
	Server       string
	Keeper       string        // router that manages the attempt; in Started only from an entry's replica
	Version      string        // of the model, in Prefix
	Digest       string        // of the caller's request body, in Prefix
	Reason       string        // of Done, Refused and Lost
	BetterKeeper string        // in Refused: a keeper that may have capacity
	ExpectedWait time.Duration // at this keeper, see Keeper.ExpectedWait
	RetryAfter   time.Duration // in Refused: delay before a retry
	Silent       bool          // in Lost: the server was silent and may be sound
	CrashedAt    int64         // in Lost: incarnation of the server that is gone since, which the request may have crashed; 0 if not
}

// Stream returns the events of an attempt in order.
type Stream interface {
	// Next waits for the next event. It fails if the keeper is gone or silent.
	Next() (Event, error)
	// Close detaches the reader; the attempt keeps running for a grace period.
	Close()
}
