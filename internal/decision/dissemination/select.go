package dissemination

import (
	"math/rand/v2"
	"sort"
	"time"
)

// freshFraction is the fraction of the relayed heartbeats that are the newest known ones.
// They spread a heartbeat within a few rounds; the others, drawn at random, reach the
// routers that those missed.
const freshFraction = 0.75

// SelectHeartbeats returns the indexes of at most n heartbeats to relay, given when each
// known one was sent.
func SelectHeartbeats(sentAt []time.Time, n int) []int {
	indexes := make([]int, len(sentAt))
	for i := range indexes {
		indexes[i] = i
	}
	n = min(n, len(indexes))
	fresh := int(freshFraction * float64(n))
	// The shuffle comes first, so that ties are broken at random.
	rand.Shuffle(len(indexes), func(i, j int) { indexes[i], indexes[j] = indexes[j], indexes[i] })
	sort.SliceStable(indexes, func(i, j int) bool { return sentAt[indexes[i]].After(sentAt[indexes[j]]) })
	rest := indexes[fresh:]
	rand.Shuffle(len(rest), func(i, j int) { rest[i], rest[j] = rest[j], rest[i] })
	return indexes[:n]
}
