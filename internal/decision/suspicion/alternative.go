package suspicion

import "time"

// maxStartPause is how long a sound engine may be silent. After that, a caller who has no
// part of the answer yet and may send the request again is told of the failure.
const maxStartPause = 2500 * time.Millisecond

// maxSoundSilence is how long a sound engine may be silent. A silence that may still be one does
// not get the last attempt if an earlier silence has taken one: the next loss would end the
// stream.
const maxSoundSilence = 2 * time.Second

// Alternative is what is known of another attempt when a stream counts as lost because
// its engine is silent.
type Alternative struct {
	Replaced     bool          // another incarnation has the engine's address
	Retryable    bool          // the request may be executed more than once
	AttemptsLeft int           // that the route allows after this one
	Quarantined  bool          // the prompt must not be sent to another engine
	EngineUsable bool          // another engine can get the request
	EngineLeft   bool          // another one that does not leave may get it later
	Begun        bool          // the caller has a part of the answer
	LeftSilent   bool          // an earlier attempt was left for its silence
	Doubted      bool          // the engine does not have the attempt, or its events don't arrive
	Silence      time.Duration // since the last event or the start of the attempt
	Unheard      time.Duration // since the engine's last event or reply, or the start of the attempt
}

// Decision is what to do with a stream that counts as lost.
type Decision string

// Decisions on a stream that counts as lost.
const (
	Keep    Decision = "Keep"    // wait for the silent engine, which may be sound
	Retry   Decision = "Retry"   // end the attempt if the retry budget allows another one, otherwise keep it
	Abandon Decision = "Abandon" // end the attempt
)

// Decide returns what to do with the attempt. Silence alone never cuts an answer that has
// begun, nor ends the only attempt of a request that its caller can't repeat.
func (a Alternative) Decide() Decision {
	switch {
	case a.Replaced:
		return Abandon
	case a.LeftSilent && a.AttemptsLeft == 1 && a.mayBeSound():
		return Keep
	case a.Retryable && a.AttemptsLeft > 0 && !a.Quarantined && a.EngineUsable:
		return Retry
	case a.Retryable && a.AttemptsLeft > 0 && !a.Quarantined && a.EngineLeft:
		return Keep
	case a.Retryable && !a.Begun && (a.Unheard > maxStartPause || a.Doubted && a.Silence > maxStartPause || a.Silence >= maxStartSilence):
		return Abandon
	default:
		return Keep
	}
}

// mayBeSound reports whether a sound engine may be as silent. Before the first event, one that
// answers probes may be busy with the prompt.
func (a Alternative) mayBeSound() bool {
	quiet := a.Unheard
	if a.Begun || a.Silence >= maxStartSilence {
		quiet = a.Silence
	}
	return !a.Doubted && quiet < maxSoundSilence
}
