// Package ewma holds the moving average that the judges of pace and latency share.
package ewma

import "time"

// Blend moves an average towards the newest value by its weight, 0 to 1. An
// average of 0 has seen nothing yet.
func Blend(old, seen time.Duration, weight float64) time.Duration {
	if old == 0 {
		return seen
	}
	return time.Duration((1-weight)*float64(old) + weight*float64(seen))
}
