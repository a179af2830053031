package admission

import (
	"wisteriafield/internal/decision/pace"
)

// reservedShare is the part of a server's slots kept for short work.
const reservedShare = 0.15

// Server is what a keeper knows of a backend server.
type Server struct {
	Name    string
	Slots   int
	Speed   float64 // tokens a second of one slot, as declared
	Carries map[string]bool
	Leaving bool
	Down    bool // a probe failed; it is tried again after a good one
	// Foreign is the number of requests that other routers run there, from
	// its lagging load report.
	Foreign int
	Pace    pace.Tracker

	running map[string]Item
	long    int
	prefix  prefixes
}

// InFlight returns the number of slots in use.
func (s *Server) InFlight() int { return len(s.running) + s.Foreign }

// Load returns the part of the slots in use.
func (s *Server) Load() float64 {
	return float64(s.InFlight()) / float64(max(s.Slots, 1))
}

// Rate returns the tokens a second that one slot gives now.
func (s *Server) Rate() float64 {
	rate := s.Speed
	if s.Pace.Recent > 0 {
		rate = 1 / s.Pace.Recent.Seconds()
	}
	return max(rate, 0.1)
}

// usable returns the slots that are offered: fewer while the server is slow, but
// always one, so that its recovery is seen.
func (s *Server) usable() int {
	if s.Down {
		return 0
	}
	return max(1, int(float64(s.Slots)/s.Pace.Slowdown()))
}

func (s *Server) admits(it Item) bool {
	if s.Leaving || s.Down || !s.Carries[it.Needs] || s.InFlight() >= s.usable() {
		return false
	}
	return short(it.Class) || s.long < s.longSlots()
}

// longSlots is how many slots long work may fill.
func (s *Server) longSlots() int {
	usable := s.usable()
	reserved := int(float64(usable)*reservedShare + 0.5)
	return max(1, usable-reserved)
}

// slotsFor is how many slots work of a class may use.
func (s *Server) slotsFor(c Class) int {
	if short(c) {
		return s.usable()
	}
	return s.longSlots()
}

// runningIn returns how many of the slots for a class are in use, and the tokens
// of what this keeper runs there.
func (s *Server) runningIn(c Class) (n int, tokens float64) {
	n = s.Foreign
	for _, it := range s.running {
		if short(c) || !short(it.Class) {
			n++
			tokens += it.Tokens
		}
	}
	return n, tokens
}

// score orders servers for an item: the expected time for one token, with the
// prompt's cached prefix as a bonus. Lower is better.
func (s *Server) score(it Item) float64 {
	score := (1 + s.Load()) / s.Rate() * s.Pace.Slowdown()
	if s.prefix.has(it.Prefix) {
		score *= cachedPrefixFactor
	}
	if s.Name == it.Avoid {
		score *= avoidFactor
	}
	return score
}

func short(c Class) bool { return c == Interactive || c == Resume }
