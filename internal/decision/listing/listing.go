// Package listing decides which routers list themselves in the platform's store. A list of
// all is not needed: a newcomer that knows one live router learns of the others from it.
//
// The load that it answers: a large fleet that starts at once, each router of which made
// two priced writes, and renewed its lease for ever.
package listing

import "wisteriafield/internal/decision/placement"

// maxListed is the number of routers that list themselves: enough that some of them are
// alive after any loss that does not end the whole fleet. When one is lost, the next in
// rank takes its place.
const maxListed = 16

// ShouldList reports whether a router lists itself, given the names of its live peers. With
// few peers it does, since it may not have found the others.
func ShouldList(self string, peers []string) bool {
	return len(peers) < maxListed || placement.Rank("listing", self, peers) < maxListed
}
