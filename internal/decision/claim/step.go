package claim

// Step is what to do next, after the claim of a key was read from the store.
type Step string

const (
	// Create means that no claim exists: write one.
	Create Step = "Create"
	// Send means that this attempt holds the claim: dispatch the call.
	Send Step = "Send"
	// Replay means that the call ran: return the recorded outcome.
	Replay Step = "Replay"
	// ReportUnknown means that the call may have run: report an unknown
	// outcome and send nothing.
	ReportUnknown Step = "SayUnknown"
	// AskHolder means that another attempt holds the claim: ask its router for
	// consent.
	AskHolder Step = "AskHolder"
	// Replace means that the holder released the claim: overwrite it with
	// compare-and-swap.
	Replace Step = "Replace"
	// Conflict means that the key was used for a different request.
	Conflict Step = "Conflict"
)

// Next returns the step of an attempt whose request has the given digest, from
// the record found in the store (nil if there is none). If the store may have lost
// the key's claim, what is missing, held or released in the store proves nothing, and
// the call is not sent.
func Next(found *Record, attemptID, digest string, mayBeLost bool) Step {
	switch {
	case found == nil && mayBeLost:
		return ReportUnknown
	case found == nil:
		return Create
	case found.Digest != digest:
		return Conflict
	case found.State == Done:
		return Replay
	case found.State == Unknown:
		return ReportUnknown
	case found.State == Held && found.Attempt != attemptID:
		return AskHolder
	case mayBeLost:
		return ReportUnknown
	case found.State == Released:
		return Replace
	default:
		return Send
	}
}
