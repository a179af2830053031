package admission

import "time"

// Cause says why an item was refused.
type Cause string

const (
	// NoServer means that no server here carries what the item needs.
	NoServer Cause = "NoServer"
	// Busy means that the item can't start in time.
	Busy Cause = "Busy"
	// Expired means that the item waited until its deadline.
	Expired Cause = "Expired"
)

// Refusal tells that an item was not run, and when a retry may pass.
type Refusal struct {
	Item    Item
	Cause   Cause
	RetryAt time.Time
}
