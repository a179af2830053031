package generation

import (
	"fmt"

	"github.com/pkg/errors"
)

// ErrAttemptUsed reports that an attempt identifier was opened before.
var ErrAttemptUsed = errors.New("attempt was opened before")

// ErrFinished reports that the answer is complete.
var ErrFinished = errors.New("answer is finished")

// Answer holds the accepted tokens of one generation and the attempt that may
// add to them. It is not safe for concurrent use.
type Answer struct {
	Generation string
	Segments   []Segment
	Reason     string // why the generation finished; empty while it runs

	open  string
	used  map[string]bool
	count int
}

// New returns an answer that continues the given segments.
func New(id string, segments []Segment) (*Answer, error) {
	a := &Answer{Generation: id, used: make(map[string]bool)}
	for _, s := range segments {
		if s.Start != a.count+1 || a.used[s.Attempt] {
			return nil, fmt.Errorf("segment of attempt %s at %d: %w", s.Attempt, s.Start, ErrAttemptUsed)
		}
		a.used[s.Attempt] = true
		a.count += len(s.Tokens)
		a.Segments = append(a.Segments, Segment{Attempt: s.Attempt, Start: s.Start, Tokens: append([]string(nil), s.Tokens...)})
	}
	return a, nil
}

// Count returns the number of accepted tokens, which is the last position.
func (a *Answer) Count() int { return a.count }

// CurrentAttempt returns the open attempt, or "" when there is none.
func (a *Answer) CurrentAttempt() string { return a.open }

// Open closes the attempt that is open, for good, and opens another.
func (a *Answer) Open(attempt string) error {
	if a.Reason != "" {
		return ErrFinished
	}
	if attempt == "" || a.used[attempt] {
		return fmt.Errorf("open %q: %w", attempt, ErrAttemptUsed)
	}
	a.used[attempt] = true
	a.open = attempt
	a.Segments = append(a.Segments, Segment{Attempt: attempt, Start: a.count + 1})
	return nil
}

// Reopen makes the last segment's attempt the open one again. Only a copy that
// has just been built from another host's copy may do so, to follow the attempt
// which is still running there.
func (a *Answer) Reopen(attempt string) error {
	if n := len(a.Segments); n > 0 && a.Segments[n-1].Attempt == attempt {
		a.open = attempt
		return nil
	}
	return a.Open(attempt)
}

// Close closes the open attempt for good. Its later tokens are stale.
func (a *Answer) Close() { a.open = "" }

// Accept takes the token if it is the next of the open attempt.
func (a *Answer) Accept(t Token) Verdict {
	if t.Generation != a.Generation {
		return WrongGeneration
	}
	if a.Reason != "" || a.open == "" || t.Attempt != a.open {
		return Stale
	}
	if t.Position <= a.count {
		return Duplicate
	}
	if t.Position > a.count+1 {
		return Gap
	}
	last := &a.Segments[len(a.Segments)-1]
	last.Tokens = append(last.Tokens, t.Text)
	a.count++
	return Accepted
}

// Finish ends the generation if attempt is the open one.
func (a *Answer) Finish(attempt, reason string) bool {
	if a.open == "" || attempt != a.open || a.Reason != "" {
		return false
	}
	a.open = ""
	a.Reason = reason
	return true
}

// Contains reports whether the token at position came from attempt in this copy.
// If it did, everything before it is the same in every copy that holds it,
// since an attempt continues one prefix only.
func (a *Answer) Contains(attempt string, position int) bool {
	for _, s := range a.Segments {
		if s.Attempt == attempt {
			return s.holds(position)
		}
	}
	return false
}

// At returns the token at a position from 1 to Count.
func (a *Answer) At(position int) Token {
	for i := len(a.Segments) - 1; i >= 0; i-- {
		if s := a.Segments[i]; s.holds(position) {
			return Token{Generation: a.Generation, Attempt: s.Attempt, Position: position, Text: s.Tokens[position-s.Start]}
		}
	}
	return Token{}
}

// Texts returns the accepted tokens in order.
func (a *Answer) Texts() []string {
	texts := make([]string, 0, a.count)
	for _, s := range a.Segments {
		texts = append(texts, s.Tokens...)
	}
	return texts
}

// Prefix returns a copy of the segments that hold tokens.
func (a *Answer) Prefix() []Segment {
	var segments []Segment
	for _, s := range a.Segments {
		if len(s.Tokens) == 0 {
			continue
		}
		segments = append(segments, Segment{Attempt: s.Attempt, Start: s.Start, Tokens: append([]string(nil), s.Tokens...)})
	}
	return segments
}
