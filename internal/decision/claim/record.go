package claim

import "time"

// State is how far a claimed call has come.
type State string

const (
	// Held means the claim exists and the call may be sent by its holder.
	Held State = "Held"
	// Released means the holder gave the claim up before sending anything.
	Released State = "Released"
	// Done means the call ran and Outcome holds its answer.
	Done State = "Done"
	// Unknown means the call was sent and its answer was lost.
	Unknown State = "Unknown"
)

// Record is the stored form of a claim.
type Record struct {
	Digest      string // of method, path and body
	Router      string
	Incarnation string // of the router process
	Attempt     string // unique, so that a lost answer can be recognised
	State       State
	Outcome     *Outcome  `json:",omitempty"`
	ExpiresAt   time.Time // from the date inside the key
}

// Outcome is the answer that a service gave.
type Outcome struct {
	Status      int
	ContentType string
	Body        []byte
	Truncated   bool // the body was too large to keep
}
