package generation

// Token is one token as an engine sent it, labelled with where it belongs.
type Token struct {
	Generation string
	Attempt    string
	Position   int // 1 is the first token of the answer
	Text       string
}
