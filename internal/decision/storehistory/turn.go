package storehistory

import "time"

const (
	// turnInterval is the time between the turns of two routers.
	turnInterval = 300 * time.Millisecond
	// maxTurns bounds how long the last routers of a large fleet wait.
	maxTurns = 30
)

// Turn returns when a router checks whether a restored store lost what the routers hold, so
// that they do not all write it again at once. The rank is its place among the live routers.
func Turn(seenAt time.Time, rank int) time.Time {
	return seenAt.Add(time.Duration(min(max(rank, 0), maxTurns)) * turnInterval)
}
