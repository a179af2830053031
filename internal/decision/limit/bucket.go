// Package limit decides how many tokens an organisation may use, across
// routers. One router, the organisation's home, holds the bucket and leases
// allowances to the entries, so most requests need no message.
package limit

import (
	"math"
	"time"
)

// Burst is how much unused limit a bucket holds, as time at the full rate.
const Burst = 4 * time.Second

// Bucket is a token bucket. It is not safe for concurrent use.
type Bucket struct {
	Rate       float64   // tokens a second
	Level      float64   // tokens that may be taken now; below zero it is in debt
	RefilledAt time.Time // Level includes the refill up to this time
}

// NewBucket returns a full bucket.
func NewBucket(rate float64, now time.Time) *Bucket {
	return &Bucket{Rate: rate, Level: rate * Burst.Seconds(), RefilledAt: now}
}

// SetRate changes the rate and keeps the level within the new bounds.
func (b *Bucket) SetRate(rate float64, now time.Time) {
	b.refill(now)
	b.Rate = rate
	b.Level = math.Min(b.Level, rate*Burst.Seconds())
}

// Grant takes up to want tokens and returns how many it gave.
func (b *Bucket) Grant(want float64, now time.Time) float64 {
	b.refill(now)
	given := math.Max(0, math.Min(want, b.Level))
	b.Level -= given
	return given
}

// Return puts unused tokens back.
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
