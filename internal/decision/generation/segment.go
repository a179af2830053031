package generation

// Segment is a sequence of consecutive accepted tokens that one attempt produced.
type Segment struct {
	Attempt string // ID of the attempt
	Start   int    // position of the first token
	Tokens  []string
}

func (s Segment) contains(position int) bool {
	return position >= s.Start && position < s.Start+len(s.Tokens)
}
