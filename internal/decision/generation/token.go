package generation

// Token is one token as an engine sent it, with the generation, attempt and
// position to which it belongs.
type Token struct {
	Generation string
	Attempt    string
	Position   int // 1 is the first token of the answer
	Text       string
}
