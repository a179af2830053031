package suspicion

import "time"

// Overdue is what is known of an attempt whose token is overdue, after its engine has left a
// probe unanswered.
type Overdue struct {
	Unheard     time.Duration // since the engine's last token or reply, or the start of the attempt
	Redo        time.Duration // in which another engine may get as far
	Alternative bool          // another engine answers and has room
}

// Decide returns what to do with the attempt. A silence that a sound engine may have costs it
// only if another engine takes its place and gets as far in less time than is left to wait.
func (o Overdue) Decide() Decision {
	wait := maxSoundSilence - o.Unheard
	if wait <= 0 || o.Alternative && o.Redo < wait {
		return Retry
	}
	return Keep
}
