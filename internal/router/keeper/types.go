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
	Digest       string // of the caller's request
	Class        admission.Class
	Model        string
	Version      string
	Adapter      string
	Prompt       string
	Segments     []generation.Segment // accepted so far
	MaxTokens    int
	StartBy      time.Time
	OnlyFree     bool      // refuse it unless a slot is free
	Servers      []string  // that the entry believes this keeper has
	Avoid        string    // server that was lost
	Replaces     *Replaced // attempt to cancel at its engine
}

// Replaced is an attempt that another one replaces.
type Replaced struct {
	Server  string
	Attempt string
}

// Accepted returns the number of tokens accepted so far.
func (r *Request) Accepted() int {
	var n int
	for _, s := range r.Segments {
		n += len(s.Tokens)
	}
	return n
}

// ModelKey names what a server must carry for a model, version and adapter.
func ModelKey(model, version, adapter string) string {
	return model + "@" + version + "+" + adapter
}

// EventKind is what an event of an attempt says.
type EventKind string

const (
	// Started says that an engine runs the attempt now.
	Started EventKind = "Started"
	// Prefix gives the segments of a copy, first when following one.
	Prefix EventKind = "Prefix"
	// Token gives a token.
	Token EventKind = "Token"
	// Heartbeat says that the keeper is there.
	Heartbeat EventKind = "Beat"
	// Done says that the answer is finished.
	Done EventKind = "Done"
	// Refused says that the attempt was not run.
	Refused EventKind = "Refused"
	// Lost says that the attempt was started and lost.
	Lost EventKind = "Lost"
)

// Event is what a keeper tells an entry.
type Event struct {
	Kind         EventKind
	Token        generation.Token
	Segments     []generation.Segment
	Attempt      string
	Server       string
	Keeper       string // of an entry's copy, where its attempt runs
	Version      string // of the model, with Prefix
	Digest       string
	Reason       string        // of Done, Refused and Lost
	BetterKeeper string        // on Refused, a keeper that may have room
	ExpectedWait time.Duration // expected wait here
	RetryAfter   time.Duration // on Refused, when to try again
}

// Stream gives the events of an attempt in order.
type Stream interface {
	// Next waits for an event. It fails if the keeper is gone or silent.
	Next() (Event, error)
	// Close stops following; the attempt goes on for a grace period.
	Close()
}
