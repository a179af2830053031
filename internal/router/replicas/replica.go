// Package replicas holds the answers that a router has a copy of, and lets many
// readers follow one.
package replicas

import (
	"context"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"wisteriafield/internal/decision/generation"
)

var (
	droppedRepeated = metrics.NewCounter(`wisteriafield_tokens_dropped_total{verdict="Repeated"}`)
	droppedGap      = metrics.NewCounter(`wisteriafield_tokens_dropped_total{verdict="Gap"}`)
	droppedStale    = metrics.NewCounter(`wisteriafield_tokens_dropped_total{verdict="Stale"}`)
	droppedForeign  = metrics.NewCounter(`wisteriafield_tokens_dropped_total{verdict="Foreign"}`)
)

// Replica is one answer with those who follow it. It is safe for concurrent use.
type Replica struct {
	Organisation string
	Digest       string // of the request

	mu       sync.Mutex
	answer   *generation.Answer
	failure  string // why the open attempt was lost; empty while it runs
	changed  chan struct{}
	readers  int
	leftAt   time.Time // when the last reader left
	readOnce bool
}

// New returns a copy of an answer.
func New(organisation, digest string, answer *generation.Answer) *Replica {
	return &Replica{Organisation: organisation, Digest: digest, answer: answer, changed: make(chan struct{})}
}

// State is what a reader sees beside the tokens.
type State struct {
	Attempt      string
	TokenCount   int
	FinishReason string // not empty once the answer is finished
	Failure      string // not empty once the attempt was lost
	SegmentCount int
}

// Update runs f with the answer under the lock and wakes the readers.
func (c *Replica) Update(f func(a *generation.Answer)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	f(c.answer)
	c.wake()
}

// Open closes the attempt that is open and opens another.
func (c *Replica) Open(attempt string) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if err := c.answer.Open(attempt); err != nil {
		return err
	}
	c.failure = ""
	c.wake()
	return nil
}

// Accept gives a token to the answer and counts those that it drops.
func (c *Replica) Accept(t generation.Token) generation.Verdict {
	c.mu.Lock()
	defer c.mu.Unlock()
	v := c.answer.Accept(t)
	switch v {
	case generation.Accepted:
		c.wake()
	case generation.Duplicate:
		droppedRepeated.Inc()
	case generation.Gap:
		droppedGap.Inc()
	case generation.Stale:
		droppedStale.Inc()
	case generation.WrongGeneration:
		droppedForeign.Inc()
	}
	return v
}

// Finish ends the answer.
func (c *Replica) Finish(attempt, reason string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	ok := c.answer.Finish(attempt, reason)
	c.wake()
	return ok
}

// MarkLost closes the open attempt and tells the readers why.
func (c *Replica) MarkLost(attempt, failure string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.answer.CurrentAttempt() != attempt {
		return
	}
	c.answer.Close()
	c.failure = failure
	c.wake()
}

// Abort ends the copy without an answer.
func (c *Replica) Abort(failure string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.answer.Close()
	c.failure = failure
	c.wake()
}

// State returns the present state.
func (c *Replica) State() State {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.state()
}

func (c *Replica) state() State {
	return State{Attempt: c.answer.CurrentAttempt(), TokenCount: c.answer.Count(), FinishReason: c.answer.Reason, Failure: c.failure, SegmentCount: len(c.answer.Segments)}
}

// Prefix returns the accepted segments.
func (c *Replica) Prefix() []generation.Segment {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.answer.Prefix()
}

// Texts returns the accepted tokens.
func (c *Replica) Texts() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.answer.Texts()
}

// Holds reports whether the token at position came from attempt here.
func (c *Replica) Holds(attempt string, position int) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.answer.Contains(attempt, position)
}

// TokensAfter returns the tokens after a position and the state. The channel is closed
// at the next change.
func (c *Replica) TokensAfter(position int) ([]generation.Token, State, <-chan struct{}) {
	c.mu.Lock()
	defer c.mu.Unlock()
	var tokens []generation.Token
	for p := position + 1; p <= c.answer.Count(); p++ {
		tokens = append(tokens, c.answer.At(p))
	}
	return tokens, c.state(), c.changed
}

// WaitForTokens returns the tokens after a position as soon as there are some, or the
// attempt or the answer ended, or ctx did.
func (c *Replica) WaitForTokens(ctx context.Context, position int) ([]generation.Token, State) {
	for {
		tokens, state, changed := c.TokensAfter(position)
		if len(tokens) > 0 || state.FinishReason != "" || state.Failure != "" {
			return tokens, state
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return nil, state
		}
	}
}

// Attach counts a reader in.
func (c *Replica) Attach() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.readers++
	c.readOnce = true
}

// Detach counts a reader out.
func (c *Replica) Detach(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.readers--
	c.leftAt = now
}

// Readers returns the number of readers.
func (c *Replica) Readers() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.readers
}

// Abandoned reports whether nobody has read the copy since before a time.
func (c *Replica) Abandoned(before time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.readers == 0 && c.readOnce && c.leftAt.Before(before)
}

func (c *Replica) wake() {
	close(c.changed)
	c.changed = make(chan struct{})
}
