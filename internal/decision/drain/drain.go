// Package drain decides which requests a stopping router still accepts. In a rolling
// restart, a request that is accepted and then cut off by the end of the process is worse
// for its caller than one that is refused and goes to another router.
package drain

import "time"

const (
	// The time of a generation is that of its prefill, that of its output tokens and a
	// fixed overhead. Engines of typical speed are a little faster.
	prefillTokensPerMs = 4.5
	outputTokenTime    = 4600 * time.Microsecond
	fixedOverhead      = 300 * time.Millisecond
)

// FitsGeneration reports whether a generation that starts now finishes in the time left
// to the process.
func FitsGeneration(left time.Duration, prompt, output int) bool {
	prefill := time.Duration(float64(prompt) / prefillTokensPerMs * float64(time.Millisecond))
	return left > fixedOverhead+prefill+time.Duration(output)*outputTokenTime
}

// FitsCall reports whether a request to a service finishes in the time left to the
// process, even if the server takes as long as the caller waits.
func FitsCall(left, callerTimeout time.Duration) bool { return left > callerTimeout }
