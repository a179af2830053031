// Package balance chooses the backend server for a request from what is known
// of each server's work. It has no clock and no connection.
package balance

import "time"

const (
	// startLatency stands for the answer time of a server that has not answered
	// yet; plain services answer in 15 to 60 ms.
	startLatency = 20 * time.Millisecond
	// errorFactor makes a server that fails half of its requests as costly as
	// one with five times the work.
	errorFactor = 8.0
	// farFactor makes a server of another failure domain dearer by about the way
	// there, and stallFactor by what its links hold up: one packet in fifty makes
	// it as dear as twice the work.
	farFactor   = 1.3
	stallFactor = 50.0
)

// Service is a server of a plain service, as a candidate.
type Service struct {
	InFlight    int
	Slots       int
	Latency     time.Duration
	ErrorRate   float64 // share of failed answers, 0 to 1
	OtherDomain bool    // in another failure domain than this router
	StallRate   float64 // share of events that the link to it holds up
	Down        bool    // did not take the last connection
	Full        bool    // refused for want of room
}

// PickService returns the index of the server to use, or -1. It answers short
// work behind busy, slow or failing servers: the expected wait decides. Servers
// that are down or full are used only if all are, never beyond their queue.
func PickService(candidates []Service, random float64) int {
	best, least := -1, 0.0
	for i, c := range candidates {
		cost := plainCost(c) * (1 + 0.05*fraction(random, i))
		if best < 0 || cost < least {
			best, least = i, cost
		}
	}
	return best
}

func plainCost(c Service) float64 {
	latency := c.Latency
	if latency == 0 {
		latency = startLatency
	}
	waves := 1.0
	if c.Slots > 0 && c.InFlight >= c.Slots {
		waves = float64(c.InFlight+1) / float64(c.Slots)
	}
	cost := float64(latency) * (waves + 0.2*float64(c.InFlight)) * (1 + errorFactor*c.ErrorRate)
	if c.OtherDomain {
		cost *= farFactor + stallFactor*c.StallRate
	}
	if c.Full {
		cost *= 20
	}
	if c.Down {
		cost *= 400
	}
	return cost
}

// fraction spreads one random number over the candidates.
func fraction(random float64, i int) float64 {
	x := random + float64(i)*0.618033988749895
	return x - float64(int(x))
}
