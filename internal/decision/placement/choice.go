package placement

import (
	"time"
)

const (
	// sameDomainPenalty is added to the cost of a keeper in the failure domain
	// of the entry, so that the two replicas of an answer rarely share a domain.
	sameDomainPenalty = 50 * time.Millisecond
	// otherRegionPenalty keeps work within its region unless the keepers there
	// cost more than this penalty.
	otherRegionPenalty = 2 * time.Second
	// selfPenalty is added when entry and keeper are the same host.
	selfPenalty = 200 * time.Millisecond
	// costHalfLife is the time in which a wait that a keeper reported loses half
	// of its weight.
	costHalfLife = time.Second
)

// Candidate is a keeper with backend servers for a request.
type Candidate struct {
	Name     string
	Domain   string
	Region   string
	Capacity float64       // slots, weighted by speed
	Wait     time.Duration // expected wait, from the keeper's last reply
	SeenAt   time.Time     // when that reply arrived
	Self     bool          // the keeper runs on the host of the entry
}

// Random is the part of math/rand that Choose needs.
type Random interface{ Float64() float64 }

// Choose picks two candidates at random, weighted by capacity, and returns the
// index of the one with the lower cost. It returns -1 if there are no candidates.
func Choose(now time.Time, domain, region string, all []Candidate, r Random) int {
	first := pickByCapacity(all, -1, r)
	if first < 0 || len(all) == 1 {
		return first
	}
	second := pickByCapacity(all, first, r)
	if second >= 0 && cost(now, domain, region, all[second]) < cost(now, domain, region, all[first]) {
		return second
	}
	return first
}

// Cheapest returns the index of the candidate with the lowest cost, or -1 if
// there are no candidates.
func Cheapest(now time.Time, domain, region string, all []Candidate) int {
	best := -1
	for i := range all {
		if best < 0 || cost(now, domain, region, all[i]) < cost(now, domain, region, all[best]) {
			best = i
		}
	}
	return best
}

// pickByCapacity returns a random index, weighted by capacity, other than
// exclude.
func pickByCapacity(all []Candidate, exclude int, r Random) int {
	var total float64
	for i, c := range all {
		if i != exclude {
			total += c.Capacity
		}
	}
	remaining := r.Float64() * total
	chosen := -1
	for i, c := range all {
		if i == exclude {
			continue
		}
		chosen = i
		remaining -= c.Capacity
		if remaining < 0 {
			break
		}
	}
	return chosen
}

func cost(now time.Time, domain, region string, c Candidate) time.Duration {
	total := decayedWait(now, c)
	switch {
	case c.Self:
		total += selfPenalty
	case c.Region != region:
		total += otherRegionPenalty
	case c.Domain == domain:
		total += sameDomainPenalty
	}
	return total
}

// decayedWait returns the reported wait of a keeper, halved for each costHalfLife
// since it was reported.
func decayedWait(now time.Time, c Candidate) time.Duration {
	if c.SeenAt.IsZero() {
		return 0
	}
	halvings := now.Sub(c.SeenAt) / costHalfLife
	if halvings > 30 {
		return 0
	}
	return c.Wait >> halvings
}
