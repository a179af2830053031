// Package storereader decides which routers read the platform's store for the whole
// fleet. Each call to the store is charged for, and the allowed call rates grow more
// slowly than the fleet, so a few routers read it and send what they read to the
// others.
package storereader

import (
	"time"

	"wisteriafield/internal/decision/placement"
)

const (
	// maxReaders is the number of routers that read at the same time, so that changes
	// still arrive when one of them fails.
	maxReaders = 2
	// maxReaderAge is the age of the store's last answer up to which a reading router
	// counts as one that reaches the store. Readers get an answer about every second.
	maxReaderAge = 2500 * time.Millisecond
	// staleAfter is the age of the newest answer to any known router from which this
	// router reads for itself.
	staleAfter = 1800 * time.Millisecond
	// fastLinkFraction is the fraction of the fastest link's rate from which a link
	// counts as fast.
	fastLinkFraction = 0.5
)

// Router is a candidate for reading the store.
type Router struct {
	Name       string
	ReadsStore bool      // it reports that it reads the store
	ReachedAt  time.Time // last answer of the store; zero if there was none
	LinkRate   float64   // rate of its network link, in the same unit for all routers
}

// ShouldRead reports whether the router self reads the store now. The peers are the
// live ones. lastCallFailed says that the last call of self to the store failed.
func ShouldRead(self Router, peers []Router, lastCallFailed bool, now time.Time) bool {
	fresh := now.Sub(self.ReachedAt) < staleAfter
	candidates := []Router{self}
	for _, p := range peers {
		if now.Sub(p.ReachedAt) < staleAfter {
			fresh = true
		}
		// A peer that doesn't read yet is a candidate too; one that reads and gets
		// no answers is not.
		if !p.ReadsStore || now.Sub(p.ReachedAt) < maxReaderAge {
			candidates = append(candidates, p)
		}
	}
	if !fresh || lastCallFailed {
		return true
	}
	for i, name := range rankCandidates(candidates) {
		if i >= maxReaders {
			return false
		}
		if name == self.Name {
			return true
		}
	}
	return false
}

// rankCandidates returns the names of the candidates in order of preference. Those on
// fast links come first, since readers send changes to all other routers.
func rankCandidates(candidates []Router) []string {
	fastest := 0.0
	for _, c := range candidates {
		fastest = max(fastest, c.LinkRate)
	}
	var fast, slow []string
	for _, c := range candidates {
		if c.LinkRate >= fastest*fastLinkFraction {
			fast = append(fast, c.Name)
		} else {
			slow = append(slow, c.Name)
		}
	}
	return append(placement.Rendezvous("store reader", fast), placement.Rendezvous("store reader", slow)...)
}
