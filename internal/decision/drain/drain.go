// Package drain decides what a router that stops still takes. It answers rolling
// restarts: a request that is taken and then cut by the end of the process is
// worse for its caller than one that is refused and goes to another router.
package drain

import "time"

const (
	// What a generation takes: prompt tokens read in a ms, time for an output
	// token, and the rest. Engines of common speed are a little faster.
	readRate   = 4.5
	tokenTime  = 4600 * time.Microsecond
	streamBase = 300 * time.Millisecond
)

// FitsGeneration reports whether a generation that begins now ends in the time
// that is left to the process.
func FitsGeneration(left time.Duration, prompt, output int) bool {
	reading := time.Duration(float64(prompt) / readRate * float64(time.Millisecond))
	return left > streamBase+reading+time.Duration(output)*tokenTime
}

// FitsCall reports whether a plain request ends in the time that is left, even if
// its server takes as long as the caller waits.
func FitsCall(left, callerWaits time.Duration) bool { return left > callerWaits }
