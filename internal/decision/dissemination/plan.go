// Package spread decides how often a router talks to how many peers, and what it
// passes on, so that the cost of a router does not grow with the fleet.
package dissemination

import (
	"math"
	"time"
)

const (
	// direct is the largest number of peers that are all told at each exchange.
	direct = 8
	// directPeriod is between exchanges while loads change, idlePeriod otherwise.
	directPeriod = 200 * time.Millisecond
	idlePeriod   = 600 * time.Millisecond
	// directFresh is three idle periods and some.
	directFresh = 2 * time.Second

	// fewFanOut is how many peers are told at each exchange in a larger fleet.
	fewFanOut = 4
	// signsPerSecond is how many signs of life of each peer should come in, and
	// signsMissed how many in a row may be missing before it counts as lost:
	// signs come at random and late, so one live peer in 100 misses seven.
	signsPerSecond = 1.5
	signsMissed    = 7.0
	leastFresh     = 3 * time.Second
	// mostVouched bounds the peers that one message vouches for.
	mostVouched = 24
)

// Plan is how a router exchanges with its peers.
type Plan struct {
	FanOut            int           // peers told at each exchange
	BusyInterval      time.Duration // between exchanges while loads change
	IdleInterval      time.Duration // between exchanges otherwise
	PeerTimeout       time.Duration // a peer without a sign of life for so long is lost
	RelayedHeartbeats int           // peers whose signs of life a message passes on
	FullMesh          bool          // each message reaches all peers, so loads are worth telling
}

// NewPlan returns the plan for a number of peers. It answers fleets of 6 to 345: a few
// peers tell each other everything; in a larger fleet signs of life pass from peer
// to peer, and engines are asked for their loads.
func NewPlan(peers int) Plan {
	if peers <= direct {
		return Plan{FanOut: direct, BusyInterval: directPeriod, IdleInterval: idlePeriod, PeerTimeout: directFresh, FullMesh: true}
	}
	perSecond := fewFanOut / idlePeriod.Seconds()
	vouched := min(mostVouched, int(math.Ceil(signsPerSecond*float64(peers)/perSecond)))
	signs := perSecond * float64(vouched) / float64(peers)
	fresh := time.Duration(signsMissed / signs * float64(time.Second))
	return Plan{FanOut: fewFanOut, BusyInterval: idlePeriod, IdleInterval: idlePeriod, PeerTimeout: max(fresh, leastFresh), RelayedHeartbeats: vouched}
}
