// Package reader decides which routers read the platform's store for all. Each
// call is priced and its rates grow more slowly than the fleet, so a few read
// and the others hear it from them.
package storereader

import (
	"time"

	"wisteriafield/internal/decision/placement"
)

const (
	// readers is how many routers read at once, so that news goes on while one
	// of them is lost.
	readers = 2
	// reachFor is how old a router's last answer of the store may be for it to
	// count as one that reaches the store. A reader hears every second or so.
	reachFor = 2500 * time.Millisecond
	// staleAfter is how old the newest answer of all routers may be before this
	// one reads for itself.
	staleAfter = 1800 * time.Millisecond
	// wideShare of the widest link makes a link a wide one.
	wideShare = 0.5
)

// Router is a router as a candidate.
type Router struct {
	Name       string
	ReadsStore bool      // it says that it reads the store
	ReachedAt  time.Time // when the store answered it last; zero if never
	LinkRate   float64   // rate of its network link, in any unit
}

// ShouldRead reports whether the router self reads the store now. The peers are those
// that live. lost says that the last call of self failed.
func ShouldRead(self Router, peers []Router, lost bool, now time.Time) bool {
	fresh := now.Sub(self.ReachedAt) < staleAfter
	candidates := []Router{self}
	for _, p := range peers {
		if now.Sub(p.ReachedAt) < staleAfter {
			fresh = true
		}
		// A peer that does not read yet is a candidate too; one that reads and
		// is not answered is not.
		if !p.ReadsStore || now.Sub(p.ReachedAt) < reachFor {
			candidates = append(candidates, p)
		}
	}
	if !fresh || lost {
		return true
	}
	for i, name := range ranked(candidates) {
		if i >= readers {
			return false
		}
		if name == self.Name {
			return true
		}
	}
	return false
}

// ranked orders the candidates: those on wide links first, since they pass the news
// on to all others.
func ranked(candidates []Router) []string {
	widest := 0.0
	for _, c := range candidates {
		widest = max(widest, c.LinkRate)
	}
	var wide, narrow []string
	for _, c := range candidates {
		if c.LinkRate >= widest*wideShare {
			wide = append(wide, c.Name)
		} else {
			narrow = append(narrow, c.Name)
		}
	}
	return append(placement.Rendezvous("store reader", wide), placement.Rendezvous("store reader", narrow)...)
}
