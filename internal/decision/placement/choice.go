package placement

import (
	"time"
)

const (
	// sameDomainPenalty is added to a keeper of the entry's own failure
	// domain, so that the two copies of an answer rarely share a domain.
	sameDomainPenalty = 50 * time.Millisecond
	// otherRegionPenalty keeps work within its region while that can be met.
	otherRegionPenalty = 2 * time.Second
	// selfPenalty is added when entry and keeper are the same host.
	selfPenalty = 200 * time.Millisecond
	// costHalfLife is how fast a cost learnt from a reply loses its weight.
	costHalfLife = time.Second
)

// Candidate is a keeper that has servers for a request.
type Candidate struct {
	Name     string
	Domain   string
	Region   string
	Capacity float64       // slots weighted by speed
	Wait     time.Duration // expected wait, from its last reply
	SeenAt   time.Time     // when Wait was learnt
	Self     bool
}

// Random is the part of math/rand that a choice needs.
type Random interface{ Float64() float64 }

// Choose picks two candidates at random by capacity and returns the index of
// the cheaper one, or -1 without candidates.
func Choose(now time.Time, domain, region string, all []Candidate, r Random) int {
	first := pick(all, -1, r)
	if first < 0 || len(all) == 1 {
		return first
	}
	second := pick(all, first, r)
	if second >= 0 && cost(now, domain, region, all[second]) < cost(now, domain, region, all[first]) {
		return second
	}
	return first
}

// Cheapest returns the index of the candidate with the lowest cost, or -1.
func Cheapest(now time.Time, domain, region string, all []Candidate) int {
	best := -1
	for i := range all {
		if best < 0 || cost(now, domain, region, all[i]) < cost(now, domain, region, all[best]) {
			best = i
		}
	}
	return best
}

func pick(all []Candidate, without int, r Random) int {
	var total float64
	for i, c := range all {
		if i != without {
			total += c.Capacity
		}
	}
	at := r.Float64() * total
	chosen := -1
	for i, c := range all {
		if i == without {
			continue
		}
		chosen = i
		at -= c.Capacity
		if at < 0 {
			break
		}
	}
	return chosen
}

func cost(now time.Time, domain, region string, c Candidate) time.Duration {
	sum := aged(now, c)
	switch {
	case c.Self:
		sum += selfPenalty
	case c.Region != region:
		sum += otherRegionPenalty
	case c.Domain == domain:
		sum += sameDomainPenalty
	}
	return sum
}

func aged(now time.Time, c Candidate) time.Duration {
	if c.SeenAt.IsZero() {
		return 0
	}
	halvings := now.Sub(c.SeenAt) / costHalfLife
	if halvings > 30 {
		return 0
	}
	return c.Wait >> halvings
}
