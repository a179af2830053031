package relay

import (
	"strconv"
	"time"
)

// maxRetryAfter bounds the Retry-After header of a request that limits are in the way of.
const maxRetryAfter = 5 * time.Second

// retryAfter returns the Retry-After header of a request that no engine can get now. If the
// engines' limits are in the way, that is when the first of them allows a request.
func (r *Relay) retryAfter(service string, now time.Time) string {
	var first time.Time
	for _, e := range r.cfg.Servers.Service(service) {
		if !r.cfg.Limits.Limited(&e.Server, now) {
			continue
		}
		if next := r.cfg.Limits.NextAt(&e.Server, now); !next.IsZero() && (first.IsZero() || next.Before(first)) {
			first = next
		}
	}
	if !first.After(now) {
		return retryAfterSeconds
	}
	return strconv.FormatFloat(min(first.Sub(now), maxRetryAfter).Seconds(), 'f', 2, 64)
}
