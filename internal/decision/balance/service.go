// Package balance chooses the backend server for a request from the known load of
// each candidate. It uses no clock and no network.
package balance

import "time"

const (
	// initialLatency is the assumed latency of a server that hasn't answered yet;
	// services answer in 15 to 60 ms.
	initialLatency = 20 * time.Millisecond
	// errorFactor makes a server that fails half of its requests as costly as
	// one with five times the work.
	errorFactor = 8.0
	// otherDomainFactor adds about the network latency to a server of another failure
	// domain, and stallFactor the delay by stalls of the links to it: one lost packet
	// in fifty makes it as costly as one with twice the work.
	otherDomainFactor = 1.3
	stallFactor       = 50.0
)

// Service is a candidate backend server that is not an engine.
type Service struct {
	InFlight    int
	Slots       int
	Latency     time.Duration
	ErrorRate   float64 // fraction of answers that failed, 0 to 1
	OtherDomain bool    // in another failure domain than this router
	StallRate   float64 // fraction of events delayed by stalls of the link to it
	Down        bool    // did not accept the last connection
	Full        bool    // refused a request for lack of capacity
}

// PickService returns the index of the candidate with the least expected wait, or -1
// if there are none, so that short requests don't wait behind busy, slow or failing
// servers. Servers that are down or full are used only if all are; a full server
// refuses what exceeds its queue.
func PickService(candidates []Service, random float64) int {
	best, lowest := -1, 0.0
	for i, c := range candidates {
		cost := serviceCost(c) * (1 + 0.05*fraction(random, i))
		if best < 0 || cost < lowest {
			best, lowest = i, cost
		}
	}
	return best
}

func serviceCost(c Service) float64 {
	latency := c.Latency
	if latency == 0 {
		latency = initialLatency
	}
	rounds := 1.0
	if c.Slots > 0 && c.InFlight >= c.Slots {
		rounds = float64(c.InFlight+1) / float64(c.Slots)
	}
	cost := float64(latency) * (rounds + 0.2*float64(c.InFlight)) * (1 + errorFactor*c.ErrorRate)
	if c.OtherDomain {
		cost *= otherDomainFactor + stallFactor*c.StallRate
	}
	if c.Full {
		cost *= 20
	}
	if c.Down {
		cost *= 400
	}
	return cost
}

// fraction derives a number from 0 to 1 for the i-th candidate from one random number,
// in steps of the golden ratio, so that the candidates' numbers lie apart.
func fraction(random float64, i int) float64 {
	x := random + float64(i)*0.618033988749895
	return x - float64(int(x))
}
