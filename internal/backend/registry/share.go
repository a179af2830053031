package registry

// Share is one router's work at a server, as its peers are told.
type Share struct {
	InFlight int   `json:",omitempty"`
	Runs     int   `json:",omitempty"`
	Prompts  int   `json:",omitempty"` // tokens not yet read
	Memory   int   `json:",omitempty"` // tokens
	PaceMs   int   `json:",omitempty"` // between events, undisturbed
	DownMs   int64 `json:",omitempty"` // for how long it is taken out
}

// Notable reports whether peers need to know.
func (s Share) Notable() bool { return s != Share{} }

// Plus adds another router's share. The pace is the shorter one, since what
// disturbs a stream only stretches it.
func (s Share) Plus(o Share) Share {
	s.InFlight += o.InFlight
	s.Runs += o.Runs
	s.Prompts += o.Prompts
	s.Memory += o.Memory
	if s.PaceMs == 0 || o.PaceMs > 0 && o.PaceMs < s.PaceMs {
		s.PaceMs = o.PaceMs
	}
	return s
}
