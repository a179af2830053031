// Package replicas holds replicas of generated answers in a router and lets many
// readers follow each of them.
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

// Replica is one answer, as far as it is generated, with its readers. It is safe
// for concurrent use.
type Replica struct {
	Organisation string
	Digest       string // of the request

	mu           sync.Mutex
	answer       *generation.Answer
	failure      string        // why the last attempt was lost or the answer aborted; Open clears it
	changed      chan struct{} // closed and replaced at each change
	readers      int
	lastDetachAt time.Time
	hadReader    bool
}

// New returns a replica of an answer, without readers.
func New(organisation, digest string, answer *generation.Answer) *Replica {
	return &Replica{Organisation: organisation, Digest: digest, answer: answer, changed: make(chan struct{})}
}

// State is the state of a replica apart from its tokens.
type State struct {
	Attempt      string // open attempt; empty if there is none
	TokenCount   int
	FinishReason string // empty until the answer is complete
	Failure      string // empty unless the attempt was lost or the answer aborted
	SegmentCount int
}

// Update calls f with the answer under the lock and notifies the readers.
func (r *Replica) Update(f func(a *generation.Answer)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	f(r.answer)
	r.notifyReaders()
}

// Open closes the open attempt, if any, and opens another.
func (r *Replica) Open(attempt string) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if err := r.answer.Open(attempt); err != nil {
		return err
	}
	r.failure = ""
	r.notifyReaders()
	return nil
}

// Accept adds a token to the answer, and counts the token if the answer drops it.
func (r *Replica) Accept(token generation.Token) generation.Verdict {
	r.mu.Lock()
	defer r.mu.Unlock()
	verdict := r.answer.Accept(token)
	switch verdict {
	case generation.Accepted:
		r.notifyReaders()
	case generation.Duplicate:
		droppedRepeated.Inc()
	case generation.Gap:
		droppedGap.Inc()
	case generation.Stale:
		droppedStale.Inc()
	case generation.WrongGeneration:
		droppedForeign.Inc()
	}
	return verdict
}

// Finish completes the answer with a finish reason.
func (r *Replica) Finish(attempt, reason string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	ok := r.answer.Finish(attempt, reason)
	r.notifyReaders()
	return ok
}

// MarkLost closes an attempt, if it is the open one, and reports the failure to
// the readers.
func (r *Replica) MarkLost(attempt, failure string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.answer.CurrentAttempt() != attempt {
		return
	}
	r.answer.Close()
	r.failure = failure
	r.notifyReaders()
}

// Abort ends an answer that will not be completed, and reports the failure to the
// readers.
func (r *Replica) Abort(failure string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.answer.Close()
	r.failure = failure
	r.notifyReaders()
}

// State returns the current state.
func (r *Replica) State() State {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.state()
}

func (r *Replica) state() State {
	return State{Attempt: r.answer.CurrentAttempt(), TokenCount: r.answer.Count(), FinishReason: r.answer.FinishReason, Failure: r.failure, SegmentCount: len(r.answer.Segments)}
}

// Prefix returns the accepted segments.
func (r *Replica) Prefix() []generation.Segment {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.answer.Prefix()
}

// Texts returns the accepted tokens.
func (r *Replica) Texts() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.answer.Texts()
}

// Holds reports whether the token at a position came from an attempt.
func (r *Replica) Holds(attempt string, position int) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.answer.Contains(attempt, position)
}

// TokensAfter returns the tokens after a position and the state. The channel is
// closed at the next change.
func (r *Replica) TokensAfter(position int) ([]generation.Token, State, <-chan struct{}) {
	r.mu.Lock()
	defer r.mu.Unlock()
	var tokens []generation.Token
	for next := position + 1; next <= r.answer.Count(); next++ {
		tokens = append(tokens, r.answer.At(next))
	}
	return tokens, r.state(), r.changed
}

// WaitForTokens waits until there are tokens after a position, the answer is
// complete, the attempt is lost or ctx ends, and returns the tokens and the state.
func (r *Replica) WaitForTokens(ctx context.Context, position int) ([]generation.Token, State) {
	for {
		tokens, state, changed := r.TokensAfter(position)
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

// Attach adds a reader.
func (r *Replica) Attach() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.readers++
	r.hadReader = true
}

// Detach removes a reader.
func (r *Replica) Detach(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.readers--
	r.lastDetachAt = now
}

// Readers returns the number of readers.
func (r *Replica) Readers() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.readers
}

// Abandoned reports whether the last reader detached before a given time. A
// replica that never had a reader is not abandoned.
func (r *Replica) Abandoned(before time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.readers == 0 && r.hadReader && r.lastDetachAt.Before(before)
}

// notifyReaders wakes the readers that wait for a change. The caller holds mu.
func (r *Replica) notifyReaders() {
	close(r.changed)
	r.changed = make(chan struct{})
}
