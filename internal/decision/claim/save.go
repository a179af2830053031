package claim

// SaveStep is what to do with the final record of a dispatched attempt, after the claim was
// read from the store.
type SaveStep string

const (
	// Write means that the record has to be written over what was found.
	Write SaveStep = "Write"
	// Kept means that the store has the record.
	Kept SaveStep = "Kept"
	// TakenOver means that another attempt holds the claim, which must not happen.
	TakenOver SaveStep = "TakenOver"
)

// NextSave returns the step for a final record, from the record found in the store (nil if
// there is none). A claim of the lost history that comes back held or released belongs to
// an attempt that gave it up before this one was dispatched.
func NextSave(found, final *Record, mayBeLost bool) SaveStep {
	switch {
	case found == nil:
		return Write
	case found.Attempt == final.Attempt && found.State == final.State:
		return Kept
	case found.Attempt == final.Attempt:
		return Write
	case mayBeLost && (found.State == Held || found.State == Released):
		return Write
	default:
		return TakenOver
	}
}
