// Package listing decides which routers list themselves in the platform's store. A list of
// all is not needed: a newcomer that knows one live router learns of the others from it.
//
// The load that it answers: a large fleet that starts at once, each router of which made
// two priced writes, and renewed its lease for ever.
package listing

import (
	"time"

	"wisteriafield/internal/decision/placement"
)

// maxListed is the number of routers that list themselves: enough that some of them are
// alive after any loss that does not end the whole fleet. When one is lost, the next in
// rank takes its place.
const maxListed = 16

// turnInterval is the time between the routers that list themselves again after the store was
// restored and lost their entries.
const turnInterval = 250 * time.Millisecond

// Turn returns the delay after which a router lists itself again, given the names of its live
// peers.
func Turn(self string, peers []string) time.Duration {
	return time.Duration(min(maxListed, placement.Rank("listing", self, peers))) * turnInterval
}

// ShouldList reports whether a router lists itself, given the names of its live peers. With
// few peers it does, since it may not have found the others.
func ShouldList(self string, peers []string) bool {
	return len(peers) < maxListed || placement.Rank("listing", self, peers) < maxListed
}
