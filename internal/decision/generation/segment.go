package generation

// Segment is a run of accepted tokens that one attempt produced.
type Segment struct {
	Attempt string
	Start   int // position of the first token
	Tokens  []string
}

func (s Segment) holds(position int) bool {
	return position >= s.Start && position < s.Start+len(s.Tokens)
}
