package generation

// Verdict says what Answer.Accept did with a token.
type Verdict string

const (
	// Accepted means the token is now the last one of the answer.
	Accepted Verdict = "Accepted"
	// Duplicate means the position was accepted before; the token is dropped.
	Duplicate Verdict = "Repeated"
	// Gap means a position was left out; the attempt must be closed.
	Gap Verdict = "Gap"
	// Stale means the token's attempt is not the open one; it is dropped.
	Stale Verdict = "Stale"
	// WrongGeneration means the token is of another generation; it is dropped.
	WrongGeneration Verdict = "Foreign"
)
