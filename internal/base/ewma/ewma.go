// Package ewma computes the exponentially weighted moving averages of paces and latencies.
package ewma

import "time"

// Blend returns the average after a new sample, which counts with the weight, 0 to 1. An
// average of 0 has no samples yet.
func Blend(average, sample time.Duration, weight float64) time.Duration {
	if average == 0 {
		return sample
	}
	return time.Duration((1-weight)*float64(average) + weight*float64(sample))
}
