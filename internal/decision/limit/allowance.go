package limit

import "time"

const (
	// LeaseTTL is how long an allowance may be used after its last lease.
	LeaseTTL = 2 * time.Second
	// reserveShare is the share of one second's limit that all entries together
	// lease beyond what their requests need.
	reserveShare = 0.25
)

// Allowance holds the tokens of an organisation's limit that an entry leased and
// may spend without asking the owner of the limit. It is not safe for concurrent
// use.
type Allowance struct {
	Remaining float64 // tokens that are not spent yet
	ExpiresAt time.Time

	ownShare *Bucket // used while the owner is unreachable
}

// Spend spends n tokens and reports whether that many were left. If not, it
// spends none.
func (a *Allowance) Spend(n float64, now time.Time) bool {
	if now.After(a.ExpiresAt) {
		a.Remaining = 0
	}
	if a.Remaining < n {
		return false
	}
	a.Remaining -= n
	return true
}

// ReserveSize returns how many tokens one entry leases beyond what a request
// needs, so that its next requests need no lease.
func ReserveSize(rate float64, routers int) float64 {
	return reserveShare * rate / float64(max(routers, 1))
}

// Add adds n leased tokens and extends the expiry.
func (a *Allowance) Add(n float64, now time.Time) {
	if now.After(a.ExpiresAt) {
		a.Remaining = 0
	}
	a.Remaining += n
	a.ExpiresAt = now.Add(LeaseTTL)
}

// SpendShare spends n tokens from this entry's equal share of the limit, and
// reports whether it may. It is used while the owner of the limit is unreachable.
func (a *Allowance) SpendShare(n, rate float64, routers int, now time.Time) bool {
	share := rate / float64(max(routers, 1))
	if a.ownShare == nil {
		a.ownShare = NewBucket(share, now)
	}
	a.ownShare.SetRate(share, now)
	if a.ownShare.Level <= 0 {
		return false
	}
	// One request may overdraw the bucket, so that a request larger than the
	// bucket can be admitted at all.
	a.ownShare.Level -= n
	return true
}
