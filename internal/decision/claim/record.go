package claim

import "time"

// State is how far a claimed call has come.
type State string

const (
	// Held means that the claim exists and its holder may send the call.
	Held State = "Held"
	// Released means that the holder abandoned the claim before sending
	// anything.
	Released State = "Released"
	// Done means that the call ran and Outcome holds its answer.
	Done State = "Done"
	// Unknown means that the call was sent and its answer was lost.
	Unknown State = "Unknown"
)

// Record is the stored form of a claim.
type Record struct {
	Digest      string // of method, path and body
	Router      string // name of the router that holds the claim
	Incarnation string // identifies the process of that router
	Attempt     string // unique ID, by which a router recognises its claim after a lost answer
	State       State
	Outcome     *Outcome  `json:",omitempty"`
	ExpiresAt   time.Time // derived from the time in the key
}

// Outcome is the answer that a service gave.
type Outcome struct {
	Status      int
	ContentType string
	Body        []byte
	Truncated   bool // the body was too large to keep
}
