// Package connlimit decides how many connections of callers a router holds, and which of them it
// ends to accept others.
//
// The load that it answers: clients that open connections and do not use them, or do not finish
// their requests, in numbers that leave no descriptors or memory for other callers.
package connlimit

import (
	"cmp"
	"slices"
	"time"
)

// State is what a connection is used for.
type State string

const (
	New        State = "New"        // no byte of a request has arrived
	Idle       State = "Idle"       // no byte has arrived since the last answer
	Incomplete State = "Incomplete" // a request is being read
	InUse      State = "InUse"      // a complete request is being served, or its answer is ending
)

// Conn is a connection of a caller.
type Conn struct {
	State State
	Since time.Time // when the state began
}

const (
	// minNew is above the time in which the first request of a connection follows its opening.
	minNew = 20 * time.Millisecond
	// minIdle is above the time in which callers send their next request after an answer.
	minIdle = 200 * time.Millisecond
	// minIncomplete is above the time that a small request takes to arrive.
	minIncomplete = 50 * time.Millisecond

	// callerShare is the share of a host's descriptors for callers. A request takes a connection
	// to a server too, at times two.
	callerShare = 0.4
	// connectionShare is the share of a host's memory for the connections of callers, each of
	// which takes up to connectionBytes besides its request.
	connectionShare = 0.25
	connectionBytes = 32 << 10
	// receiveShare is the share of a host's memory for what callers have sent and the router has
	// not read.
	receiveShare = 0.25
	// minReceiveBytes and maxReceiveBytes bound the receive buffer of one connection.
	minReceiveBytes = 8 << 10
	maxReceiveBytes = 128 << 10
	// easeDivisor is the part of the connections that is kept free: from there on, connections
	// that are not in use are ended.
	easeDivisor = 8
	// minConnections keeps a router with the smallest limits in service.
	minConnections = 16
)

// MaxConnections returns how many connections of callers fit on a host with so many bytes of
// memory and descriptors for sockets. Zero of either is no limit; zero of both returns 0.
func MaxConnections(memory int64, sockets int) int {
	n := 0
	if memory > 0 {
		n = int(connectionShare * float64(memory) / connectionBytes)
	}
	if sockets > 0 {
		bySockets := int(callerShare * float64(sockets))
		if n == 0 || bySockets < n {
			n = bySockets
		}
	}
	if n == 0 {
		return 0
	}
	return max(n, minConnections)
}

// ReceiveMemory returns the bytes that callers may have sent and a router on a host with so many
// bytes of memory has not read.
func ReceiveMemory(memory int64) int64 { return int64(receiveShare * float64(memory)) }

// ReceiveBytes returns the bytes of such memory that the kernel may keep for one of so many
// connections, 0 for no bound.
func ReceiveBytes(memory int64, connections int) int {
	if memory <= 0 || connections <= 0 {
		return 0
	}
	return int(min(max(memory/int64(connections), minReceiveBytes), maxReceiveBytes))
}

// Excess returns how many connections should end if n of at most limit are open, 0 if there is
// room. Several end at once, so that the choice among all is made rarely.
func Excess(n, limit int) int {
	free := limit / easeDivisor
	if limit <= 0 || n <= limit-free {
		return 0
	}
	return n - (limit - free) + (free+1)/2
}

// Choose returns the indices of at most n connections that end: those that cost their callers
// least first, and of these the oldest. A connection that is in use never ends, and one that is
// not may end after a while: next is when the first of those may, or zero if there is none.
func Choose(conns []Conn, n int, now time.Time) (chosen []int, next time.Time) {
	for i, c := range conns {
		if c.State == InUse {
			continue
		}
		at := c.Since.Add(c.State.minAge())
		switch {
		case !at.After(now):
			chosen = append(chosen, i)
		case next.IsZero() || at.Before(next):
			next = at
		}
	}
	slices.SortFunc(chosen, func(a, b int) int {
		return cmp.Or(cmp.Compare(conns[a].State.loss(), conns[b].State.loss()), conns[a].Since.Compare(conns[b].Since))
	})
	return chosen[:min(n, len(chosen))], next
}

// minAge returns how old a state must be for its connection to end.
func (s State) minAge() time.Duration {
	switch s {
	case New:
		return minNew
	case Idle:
		return minIdle
	}
	return minIncomplete
}

// loss orders the states by what their callers lose.
func (s State) loss() int { return slices.Index([]State{New, Idle, Incomplete, InUse}, s) }
