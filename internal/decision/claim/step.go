package claim

// Step is what to do after the store was read for a key.
type Step string

const (
	// Create means no claim exists: write one.
	Create Step = "Create"
	// Send means the claim is this attempt's own: dispatch it.
	Send Step = "Send"
	// Replay means the call ran: give the recorded answer.
	Replay Step = "Replay"
	// ReportUnknown means the call may have run: say so, send nothing.
	ReportUnknown Step = "SayUnknown"
	// AskHolder means another attempt holds the claim: ask its router.
	AskHolder Step = "AskHolder"
	// Replace means the claim was given up: write over it with
	// compare-and-swap.
	Replace Step = "Replace"
	// Conflict means the key was used for a different request.
	Conflict Step = "Conflict"
)

// Next decides the step from the record found (nil for none), for an attempt
// with this request digest.
func Next(found *Record, attempt, digest string) Step {
	switch {
	case found == nil:
		return Create
	case found.Digest != digest:
		return Conflict
	case found.State == Done:
		return Replay
	case found.State == Unknown:
		return ReportUnknown
	case found.State == Released:
		return Replace
	case found.Attempt == attempt:
		return Send
	default:
		return AskHolder
	}
}
