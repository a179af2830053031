package admission

import "time"

// Item is a request that waits for a slot of a server.
type Item struct {
	ID           string
	Organisation string
	Weight       float64 // of the organisation
	Class        Class
	Tokens       float64 // expected output
	Needs        string  // what the server must carry, see Server.Carries
	Prefix       string  // names the prompt prefix that may be cached
	Avoid        string  // server to use only if there is no other
	ArrivedAt    time.Time
	StartBy      time.Time // it is refused if it can't start by then

	start, finish float64 // virtual times of fair queueing
}
