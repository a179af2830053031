// Package limit decides how many tokens an organisation may use across all
// routers. One router, the owner of the organisation's limit, holds the token
// bucket and leases allowances to the entries, so that most requests need no
// message to it. The package also holds RetryBudget, which bounds the retries and
// hedges of one router by its own calls only; package retrybudget holds the budget
// that the routers of a fleet share.
package limit

import (
	"math"
	"time"
)

// Burst is how much unused limit a bucket saves up, as time at the full rate.
const Burst = 4 * time.Second

// Bucket is a token bucket. It is not safe for concurrent use.
type Bucket struct {
	Rate       float64   // tokens per second
	Level      float64   // tokens that may be granted now; negative after an overdraft
	RefilledAt time.Time // of the last refill
}

// NewBucket returns a full bucket.
func NewBucket(rate float64, now time.Time) *Bucket {
	return &Bucket{Rate: rate, Level: rate * Burst.Seconds(), RefilledAt: now}
}

// SetRate changes the rate and lowers the level to the new maximum if it is above
// it.
func (b *Bucket) SetRate(rate float64, now time.Time) {
	b.refill(now)
	b.Rate = rate
	b.Level = math.Min(b.Level, rate*Burst.Seconds())
}

// Grant takes up to want tokens out of the bucket and returns how many it took.
func (b *Bucket) Grant(want float64, now time.Time) float64 {
	b.refill(now)
	granted := math.Max(0, math.Min(want, b.Level))
	b.Level -= granted
	return granted
}

// Return puts n unused tokens back into the bucket.
func (b *Bucket) Return(n float64, now time.Time) {
	b.refill(now)
	b.Level = math.Min(b.Level+n, b.Rate*Burst.Seconds())
}

// ReadyAt returns when n tokens can be granted.
func (b *Bucket) ReadyAt(n float64, now time.Time) time.Time {
	b.refill(now)
	missing := math.Min(n, b.Rate*Burst.Seconds()) - b.Level
	if missing <= 0 || b.Rate <= 0 {
		return now
	}
	return now.Add(time.Duration(missing / b.Rate * float64(time.Second)))
}

func (b *Bucket) refill(now time.Time) {
	elapsed := now.Sub(b.RefilledAt).Seconds()
	if elapsed <= 0 {
		return
	}
	b.Level = math.Min(b.Level+elapsed*b.Rate, b.Rate*Burst.Seconds())
	b.RefilledAt = now
}
