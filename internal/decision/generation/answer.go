package generation

import (
	"fmt"

	"github.com/pkg/errors"
)

// ErrAttemptUsed reports an attempt ID that was used before.
var ErrAttemptUsed = errors.New("attempt was opened before")

// ErrFinished reports that the generation has finished and accepts no attempt.
var ErrFinished = errors.New("answer is finished")

// Answer holds the accepted tokens of one generation and the attempt that may
// add to them. It is not safe for concurrent use.
type Answer struct {
	Generation   string // ID of the generation
	Segments     []Segment
	FinishReason string // why the generation finished; empty while it runs

	current      string // ID of the open attempt; empty if none is open
	usedAttempts map[string]bool
	count        int
}

// New returns an answer that starts with a copy of the given segments. No
// attempt is open. It fails if the segments leave a gap or overlap, or if two are
// of the same attempt.
func New(generationID string, segments []Segment) (*Answer, error) {
	a := &Answer{Generation: generationID, usedAttempts: make(map[string]bool)}
	for _, s := range segments {
		if s.Start != a.count+1 || a.usedAttempts[s.Attempt] {
			return nil, fmt.Errorf("segment of attempt %s at position %d: %w", s.Attempt, s.Start, ErrAttemptUsed)
		}
		a.usedAttempts[s.Attempt] = true
		a.count += len(s.Tokens)
		a.Segments = append(a.Segments, Segment{Attempt: s.Attempt, Start: s.Start, Tokens: append([]string(nil), s.Tokens...)})
	}
	return a, nil
}

// Count returns the number of accepted tokens, which is also the position of the
// last one.
func (a *Answer) Count() int { return a.count }

// CurrentAttempt returns the ID of the open attempt, or "" if none is open.
func (a *Answer) CurrentAttempt() string { return a.current }

// Open opens a new attempt. The attempt that was open before is closed and can't
// be opened again.
func (a *Answer) Open(attemptID string) error {
	if a.FinishReason != "" {
		return ErrFinished
	}
	if attemptID == "" || a.usedAttempts[attemptID] {
		return fmt.Errorf("open attempt %q: %w", attemptID, ErrAttemptUsed)
	}
	a.usedAttempts[attemptID] = true
	a.current = attemptID
	a.Segments = append(a.Segments, Segment{Attempt: attemptID, Start: a.count + 1})
	return nil
}

// Reopen opens the attempt again if it is that of the last segment, and otherwise
// opens it as a new one. Only a replica that was just built from another host's
// replica may do so, to follow the attempt that is still running there.
func (a *Answer) Reopen(attemptID string) error {
	if n := len(a.Segments); n > 0 && a.Segments[n-1].Attempt == attemptID {
		a.current = attemptID
		return nil
	}
	return a.Open(attemptID)
}

// Close closes the open attempt permanently. Tokens of it that arrive later are
// stale.
func (a *Answer) Close() { a.current = "" }

// Accept appends the token to the answer if it is the next one of the open
// attempt.
func (a *Answer) Accept(t Token) Verdict {
	if t.Generation != a.Generation {
		return WrongGeneration
	}
	if a.FinishReason != "" || a.current == "" || t.Attempt != a.current {
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

// Finish ends the generation if the attempt is the open one, and reports whether
// it did.
func (a *Answer) Finish(attemptID, reason string) bool {
	if a.current == "" || attemptID != a.current || a.FinishReason != "" {
		return false
	}
	a.current = ""
	a.FinishReason = reason
	return true
}

// Contains reports whether the token at the position came from the attempt in
// this replica. If it did, all tokens before it are the same in every replica
// that contains it, since an attempt continues exactly one prefix.
func (a *Answer) Contains(attemptID string, position int) bool {
	for _, s := range a.Segments {
		if s.Attempt == attemptID {
			return s.contains(position)
		}
	}
	return false
}

// At returns the token at a position from 1 to Count, or the zero Token if there
// is none.
func (a *Answer) At(position int) Token {
	for i := len(a.Segments) - 1; i >= 0; i-- {
		if s := a.Segments[i]; s.contains(position) {
			return Token{Generation: a.Generation, Attempt: s.Attempt, Position: position, Text: s.Tokens[position-s.Start]}
		}
	}
	return Token{}
}

// Texts returns the texts of the accepted tokens in order.
func (a *Answer) Texts() []string {
	texts := make([]string, 0, a.count)
	for _, s := range a.Segments {
		texts = append(texts, s.Tokens...)
	}
	return texts
}

// Prefix returns a deep copy of the segments that are not empty. It is the prefix
// that a new attempt continues.
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
