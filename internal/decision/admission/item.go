package admission

import "time"

// Item is a request that waits for a slot of a server.
type Item struct {
	ID           string
	Organisation string
	Weight       float64 // of the organisation
	Class        Class
	Tokens       float64 // expected number of output tokens
	ModelKey     string  `json:"Needs"` // the model that the server must carry, see Server.Carries
	Prefix       string  // identifies the prompt prefix, which a server may have cached
	Avoid        string  // server that is used only if there is no other
	ArrivedAt    time.Time
	StartBy      time.Time // the item is refused if it can't start by then

	virtualStart, virtualFinish float64 // in the virtual time of fair queueing
}
