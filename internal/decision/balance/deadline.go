package balance

import "time"

const (
	// The fastest engines read a prompt and make tokens at these rates.
	bestReadRate  = 8.0 // tokens in a ms
	bestTokenTime = 3100 * time.Microsecond
	// likelyShare of the most that a caller allows is what a short generation
	// makes; shorter ones are rare.
	likelyShare = 0.4
)

// Feasible reports whether a generation may still be whole when its caller
// leaves. It answers callers that come back with a second left: what can't be
// finished is refused at once and reads no prompt in vain. The prompt counts as
// read and done tokens as made if the caller goes on after an event.
func Feasible(left time.Duration, prompt, output, done int) bool {
	needed := time.Duration(likelyShare*float64(output)-float64(done)) * bestTokenTime
	if done == 0 {
		needed += time.Duration(float64(prompt) / bestReadRate * float64(time.Millisecond))
	}
	return left >= needed
}
