// Package pace tracks the pace (inter-token latency) of a backend server. It decides how
// slow the server is compared with its own past, and after how long a silence to probe
// it.
package pace

import (
	"math"
	"time"

	"wisteriafield/internal/base/ewma"
)

const (
	recentWeight    = 0.1   // weight of the newest gap in the recent pace
	referenceWeight = 0.002 // the same in the long-term pace
	loadBuckets     = 4     // the long-term pace is kept for each quarter of load
	minObservations = 20

	slowRatio = 1.5 // recent over long-term pace from which a server is slow

	tokenTimeoutFactor      = 10 // multiple of the recent pace
	minTokenTimeout         = 300 * time.Millisecond
	maxTokenTimeout         = 900 * time.Millisecond
	minFirstTokenTimeout    = 600 * time.Millisecond
	maxFirstTokenTimeout    = 1500 * time.Millisecond
	firstTokenTimeoutFactor = 4 // multiple of the recent time to the first token
)

// Tracker tracks the pace of one server. It is not safe for concurrent use.
type Tracker struct {
	Recent     time.Duration              // recent time between tokens
	Reference  [loadBuckets]time.Duration // long-term time between tokens, by load
	FirstToken time.Duration              // recent time to the first token

	observed [loadBuckets]int
	bucket   int
}

// Observe records the time between two tokens at a load from 0 to 1.
func (t *Tracker) Observe(gap time.Duration, load float64) {
	b := min(max(int(load*loadBuckets), 0), loadBuckets-1)
	t.bucket = b
	t.Recent = ewma.Blend(t.Recent, gap, recentWeight)
	t.observed[b]++
	weight := math.Max(referenceWeight, 1/float64(t.observed[b]))
	t.Reference[b] = ewma.Blend(t.Reference[b], gap, weight)
}

// ObserveFirstToken records the time from dispatch to the first token.
func (t *Tracker) ObserveFirstToken(d time.Duration) {
	t.FirstToken = ewma.Blend(t.FirstToken, d, recentWeight)
}

// Slowdown returns how many times slower than its own past the server is, at
// least 1. It is 1 until enough tokens have been observed.
func (t *Tracker) Slowdown() float64 {
	ref := t.Reference[t.bucket]
	if t.observed[t.bucket] < minObservations || ref <= 0 {
		return 1
	}
	return math.Max(1, float64(t.Recent)/float64(ref))
}

// Slow reports whether work should move away from the server.
func (t *Tracker) Slow() bool { return t.Slowdown() >= slowRatio }

// TokenTimeout returns how long after a token the next one is overdue and the
// server should be probed.
func (t *Tracker) TokenTimeout() time.Duration {
	return min(max(tokenTimeoutFactor*t.Recent, minTokenTimeout), maxTokenTimeout)
}

// FirstTokenTimeout is TokenTimeout for the first token after dispatch.
func (t *Tracker) FirstTokenTimeout() time.Duration {
	return min(max(firstTokenTimeoutFactor*t.FirstToken, minFirstTokenTimeout), maxFirstTokenTimeout)
}
