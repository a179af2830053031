package limit

import "time"

const (
	// LeaseTTL is how long an allowance may be used after it was leased.
	LeaseTTL = 2 * time.Second
	// leaseShare is the part of a second's limit that one lease asks for.
	leaseShare = 0.25
)

// Allowance is what an entry may spend of an organisation's limit without
// asking. It is not safe for concurrent use.
type Allowance struct {
	Left      float64
	ExpiresAt time.Time

	fallback *Bucket
}

// Spend takes n tokens and reports whether they were there.
func (a *Allowance) Spend(n float64, now time.Time) bool {
	if now.After(a.ExpiresAt) {
		a.Left = 0
	}
	if a.Left < n {
		return false
	}
	a.Left -= n
	return true
}

// ReserveSize returns how many tokens one entry leases beyond what a request needs.
func ReserveSize(rate float64, routers int) float64 {
	return leaseShare * rate / float64(max(routers, 1))
}

// Add puts leased tokens in.
func (a *Allowance) Add(n float64, now time.Time) {
	if now.After(a.ExpiresAt) {
		a.Left = 0
	}
	a.Left += n
	a.ExpiresAt = now.Add(LeaseTTL)
}

// SpendShare takes n tokens from this entry's equal share of the limit. It is
// for when the home is out of reach.
func (a *Allowance) SpendShare(n, rate float64, routers int, now time.Time) bool {
	share := rate / float64(max(routers, 1))
	if a.fallback == nil {
		a.fallback = NewBucket(share, now)
	}
	a.fallback.SetRate(share, now)
	if a.fallback.Level <= 0 {
		return false
	}
	// The last request may overdraw, so that one larger than the share can
	// pass at all.
	a.fallback.Level -= n
	return true
}
