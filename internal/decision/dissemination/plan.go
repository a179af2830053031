// Package dissemination decides how often a router exchanges messages with its peers,
// with how many, and how many heartbeats it relays, so that the cost of a router
// doesn't grow with the fleet.
package dissemination

import (
	"math"
	"time"
)

const (
	// maxFullMeshPeers is the largest number of peers that all get each exchange.
	maxFullMeshPeers = 8
	// busyInterval is the interval between exchanges while loads change in a full
	// mesh, idleInterval the interval otherwise and in larger fleets.
	busyInterval = 200 * time.Millisecond
	idleInterval = 600 * time.Millisecond
	// fullMeshPeerTimeout is a little more than three idle intervals.
	fullMeshPeerTimeout = 2 * time.Second

	// largeFleetFanOut is the number of peers that get each exchange in a larger fleet.
	largeFleetFanOut = 4
	// heartbeatsPerSecond is the rate of heartbeats of each peer that the messages of a
	// round may carry. Many repeat what the receiver knows, so the peer timeout counts on
	// at most newHeartbeatsPerSecond.
	heartbeatsPerSecond    = 2.5
	newHeartbeatsPerSecond = 1.3
	// maxMissedHeartbeats is how many heartbeats in a row may be missing before the peer
	// counts as lost.
	maxMissedHeartbeats = 7.0
	minPeerTimeout      = 3 * time.Second
	// maxRelayedHeartbeats bounds the heartbeats of other peers in one message.
	maxRelayedHeartbeats = 24
)

// Plan is how a router exchanges messages with its peers.
type Plan struct {
	FanOut            int           // peers contacted at each exchange
	BusyInterval      time.Duration // between exchanges while loads change
	IdleInterval      time.Duration // between exchanges otherwise
	PeerTimeout       time.Duration // a peer without a heartbeat for so long is lost
	RelayedHeartbeats int           // peers whose heartbeats a message relays
	FullMesh          bool          // each exchange reaches all peers, so loads are worth sending
}

// NewPlan returns the plan for a number of peers, for fleets of 6 to 345 routers. In a
// small fleet all peers exchange everything with each other. In a larger one
// heartbeats are relayed from peer to peer, and engines are probed for their loads.
func NewPlan(peers int) Plan {
	if peers <= maxFullMeshPeers {
		return Plan{FanOut: maxFullMeshPeers, BusyInterval: busyInterval, IdleInterval: idleInterval, PeerTimeout: fullMeshPeerTimeout, FullMesh: true}
	}
	messagesPerSecond := largeFleetFanOut / idleInterval.Seconds()
	relayed := min(maxRelayedHeartbeats, int(math.Ceil(heartbeatsPerSecond*float64(peers)/messagesPerSecond)))
	heartbeatRate := messagesPerSecond * float64(relayed) / float64(peers)
	peerTimeout := time.Duration(maxMissedHeartbeats / min(heartbeatRate, newHeartbeatsPerSecond) * float64(time.Second))
	return Plan{FanOut: largeFleetFanOut, BusyInterval: idleInterval, IdleInterval: idleInterval, PeerTimeout: max(peerTimeout, minPeerTimeout), RelayedHeartbeats: relayed}
}
