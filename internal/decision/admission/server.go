package admission

import (
	"wisteriafield/internal/decision/pace"
)

// reservedSlotShare is the share of a server's slots that is kept for short work.
const reservedSlotShare = 0.15

// Server is what a keeper knows about a backend server.
type Server struct {
	Name    string
	Slots   int
	Speed   float64         // declared tokens per second of one slot
	Carries map[string]bool // the models that it serves, by model key
	Leaving bool            // it drains and gets no new work
	Down    bool            // a probe failed; it gets no work until a probe succeeds
	// Foreign is the number of requests that other routers run on the server,
	// from its load report, which lags behind.
	Foreign int
	Pace    pace.Tracker

	running     map[string]Item
	runningLong int
	prefixes    prefixes
}

// InFlight returns the number of slots in use.
func (s *Server) InFlight() int { return len(s.running) + s.Foreign }

// Load returns the share of the slots that are in use.
func (s *Server) Load() float64 {
	return float64(s.InFlight()) / float64(max(s.Slots, 1))
}

// Rate returns the tokens per second that one slot delivers now.
func (s *Server) Rate() float64 {
	rate := s.Speed
	if s.Pace.Recent > 0 {
		rate = 1 / s.Pace.Recent.Seconds()
	}
	return max(rate, 0.1)
}

// usableSlots returns how many slots are offered. A slow server offers fewer, but
// always at least one, so that its recovery is observed.
func (s *Server) usableSlots() int {
	if s.Down {
		return 0
	}
	return max(1, int(float64(s.Slots)/s.Pace.Slowdown()))
}

// admits reports whether the server has a free slot for the item.
func (s *Server) admits(item Item) bool {
	if s.Leaving || s.Down || !s.Carries[item.ModelKey] || s.InFlight() >= s.usableSlots() {
		return false
	}
	return isShort(item.Class) || s.runningLong < s.longSlots()
}

// longSlots returns how many slots long work may use.
func (s *Server) longSlots() int {
	usable := s.usableSlots()
	reserved := int(float64(usable)*reservedSlotShare + 0.5)
	return max(1, usable-reserved)
}

// slotsFor returns how many slots work of a class may use.
func (s *Server) slotsFor(c Class) int {
	if isShort(c) {
		return s.usableSlots()
	}
	return s.longSlots()
}

// runningIn returns how many of the slots for a class are in use, and the
// expected tokens of the items that this keeper runs in them.
func (s *Server) runningIn(c Class) (inUse int, tokens float64) {
	inUse = s.Foreign
	for _, item := range s.running {
		if isShort(c) || !isShort(item.Class) {
			inUse++
			tokens += item.Tokens
		}
	}
	return inUse, tokens
}

// score ranks servers for an item by the expected time for one token. A cached
// prompt prefix lowers the score; the server that the item avoids has its score
// raised. Lower is better.
func (s *Server) score(item Item) float64 {
	score := (1 + s.Load()) / s.Rate() * s.Pace.Slowdown()
	if s.prefixes.has(item.Prefix) {
		score *= cachedPrefixScoreFactor
	}
	if s.Name == item.Avoid {
		score *= avoidedServerScoreFactor
	}
	return score
}

// isShort reports whether work of a class is expected to be short.
func isShort(c Class) bool { return c == Interactive || c == Resume }
