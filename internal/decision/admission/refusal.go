package admission

import "time"

// Cause is the reason why an item was refused.
type Cause string

const (
	// NoServer means that no available server of this keeper carries the model
	// key of the item.
	NoServer Cause = "NoServer"
	// Busy means that the item can't start in time or that the queue is full.
	Busy Cause = "Busy"
	// Expired means that the item's StartBy passed while it waited.
	Expired Cause = "Expired"
)

// Refusal is an item that was not run, with the time at which a retry may
// succeed.
type Refusal struct {
	Item    Item
	Cause   Cause
	RetryAt time.Time
}
