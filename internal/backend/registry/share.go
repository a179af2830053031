package registry

// Share is one router's work at a server, as its peers are told.
type Share struct {
	InFlight     int   `json:",omitempty"`
	Running      int   `json:"Runs,omitempty"`
	QueuedTokens int   `json:"Prompts,omitempty"` // prompt tokens that the engine has not prefilled yet
	UsedTokens   int   `json:"Memory,omitempty"`  // tokens in the KV cache, of attempts and backups
	PaceMs       int   `json:",omitempty"`        // mean time between two events, without stalls
	DownMs       int64 `json:",omitempty"`        // how long the router keeps the server out of use
}

// NonZero reports whether peers need to know.
func (s Share) NonZero() bool { return s != Share{} }

// Plus adds another router's share. The pace is the shorter one, since what
// disturbs a stream only stretches it.
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
