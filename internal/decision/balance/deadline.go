package balance

import "time"

const (
	// The fastest engines prefill a prompt and generate tokens at these rates.
	fastestPrefillTokensPerMs = 8.0
	fastestTokenTime          = 3100 * time.Microsecond
	// shortOutputFraction is the length of a short generation as a fraction of the
	// maximum that its caller allows; shorter ones are rare.
	shortOutputFraction = 0.4
)

// Feasible reports whether a generation can be complete within the time left until its
// caller disconnects. Callers may reconnect with a second left: a generation that can't
// be completed is refused at once instead of prefilling its prompt in vain. If the
// caller resumes after an event, the prompt counts as prefilled and the done tokens as
// generated.
func Feasible(left time.Duration, prompt, output, done int) bool {
	needed := time.Duration(shortOutputFraction*float64(output)-float64(done)) * fastestTokenTime
	if done == 0 {
		needed += time.Duration(float64(prompt) / fastestPrefillTokensPerMs * float64(time.Millisecond))
	}
	return left >= needed
}
