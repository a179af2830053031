package relay

import (
	"strconv"
	"time"
)

// retryAfter returns the Retry-After header of a request that no engine can get now: when
// the first of them accepts one again.
func (r *Relay) retryAfter(service string, now time.Time) string {
	var first time.Time
	for _, e := range r.cfg.Servers.Service(service) {
		next := r.cfg.Limits.NextAt(&e.Server, now)
		if e.Leaving || next.IsZero() {
			continue
		}
		if !next.After(now) {
			next = now.Add(capacityDelay) // it has refused the request for lack of capacity
		}
		if first.IsZero() || next.Before(first) {
			first = next
		}
	}
	if first.IsZero() {
		first = now.Add(capacityDelay)
	}
	return strconv.FormatFloat(first.Sub(now).Seconds(), 'f', 2, 64)
}
