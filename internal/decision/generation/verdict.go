package generation

// Verdict is what Answer.Accept did with a token.
type Verdict string

const (
	// Accepted means that the token is now the last one of the answer.
	Accepted Verdict = "Accepted"
	// Duplicate means that a token was already accepted at this position; the
	// token is dropped.
	Duplicate Verdict = "Repeated"
	// Gap means that at least one position is missing before the token; the
	// attempt must be closed.
	Gap Verdict = "Gap"
	// Stale means that the attempt of the token is not the open one; the token is
	// dropped.
	Stale Verdict = "Stale"
	// WrongGeneration means that the token belongs to another generation; the
	// token is dropped.
	WrongGeneration Verdict = "Foreign"
)
