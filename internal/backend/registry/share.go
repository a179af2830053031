package registry

// Share is one router's share of the load of a server. Routers send their shares to
// their peers.
type Share struct {
	InFlight     int   `json:",omitempty"`        // requests to a service in flight
	Running      int   `json:"Runs,omitempty"`    // running attempts
	QueuedTokens int   `json:"Prompts,omitempty"` // prompt tokens that the engine has not prefilled yet
	UsedTokens   int   `json:"Memory,omitempty"`  // KV cache tokens of attempts and backups
	PaceMs       int   `json:",omitempty"`        // mean time between two events while nothing disturbs them
	DownMs       int64 `json:",omitempty"`        // remaining time for which the server is marked as down
}

// NonZero reports whether the share has anything that peers need to know.
func (s Share) NonZero() bool { return s != Share{} }

// Plus adds another router's share. The pace of the sum is the shorter one, since
// disturbances only ever stretch it.
func (s Share) Plus(o Share) Share {
	s.InFlight += o.InFlight
	s.Running += o.Running
	s.QueuedTokens += o.QueuedTokens
	s.UsedTokens += o.UsedTokens
	if s.PaceMs == 0 || o.PaceMs > 0 && o.PaceMs < s.PaceMs {
		s.PaceMs = o.PaceMs
	}
	return s
}
