package keeper

import (
	"context"
	"io"
	"sync"
	"time"

	"wisteriafield/internal/decision/generation"
)

// heartbeatInterval is the time after which a reader gets a Heartbeat if there is
// no other event.
const heartbeatInterval = 150 * time.Millisecond

// reader is a Stream on the replica of an attempt of this keeper.
type reader struct {
	k             *Keeper
	attempt       *attempt
	ctx           context.Context
	cancel        context.CancelFunc
	lastPosition  int // of the last token that was returned
	started       bool
	prefixPending bool // the Prefix event is still to be returned
	ended         bool
	pending       []generation.Token
	closeOnce     sync.Once
}

// newReader attaches a reader to an attempt. With withPrefix its first event is
// the answer so far; without, it starts with Started or Refused.
func (k *Keeper) newReader(attempt *attempt, withPrefix bool) *reader {
	attempt.replica.Attach()
	ctx, cancel := context.WithCancel(context.Background())
	r := &reader{k: k, attempt: attempt, ctx: ctx, cancel: cancel, lastPosition: attempt.req.Accepted(), prefixPending: withPrefix, started: withPrefix}
	return r
}

// Next returns the next event, or a Heartbeat if there is none for
// heartbeatInterval.
func (r *reader) Next() (Event, error) {
	if r.ended || r.ctx.Err() != nil {
		return Event{}, io.EOF
	}
	if r.prefixPending {
		return r.prefixEvent(), nil
	}
	if !r.started {
		return r.awaitStart()
	}
	if len(r.pending) == 0 {
		if event, ok := r.awaitTokens(); ok {
			return event, nil
		}
	}
	token := r.pending[0]
	r.pending = r.pending[1:]
	r.lastPosition = token.Position
	return Event{Kind: Token, Token: token}, nil
}

// Close detaches the reader.
func (r *reader) Close() {
	r.closeOnce.Do(func() {
		r.cancel()
		r.attempt.detachReader()
	})
}

// prefixEvent returns the answer so far.
func (r *reader) prefixEvent() Event {
	r.prefixPending = false
	segments := r.attempt.replica.Prefix()
	r.lastPosition = 0
	for _, segment := range segments {
		r.lastPosition += len(segment.Tokens)
	}
	req := &r.attempt.req
	return Event{
		Kind: Prefix, Segments: segments, Attempt: req.Attempt, Server: r.attempt.serverName(),
		Keeper: r.k.deps.Members.Self().Name, Version: req.Version, Digest: req.Digest,
	}
}

// awaitStart waits until the attempt was started, refused or lost at its start.
func (r *reader) awaitStart() (Event, error) {
	timer := time.NewTimer(heartbeatInterval)
	defer timer.Stop()
	select {
	case event := <-r.attempt.started:
		r.started = true
		if event.Kind != Started {
			r.ended = true
		}
		return event, nil
	case <-timer.C:
		return Event{Kind: Heartbeat}, nil
	case <-r.ctx.Done():
		return Event{}, io.EOF
	}
}

// awaitTokens fills pending and returns false, or returns an event other than
// Token and true.
func (r *reader) awaitTokens() (Event, bool) {
	ctx, cancel := context.WithTimeout(r.ctx, heartbeatInterval)
	defer cancel()
	tokens, state := r.attempt.replica.WaitForTokens(ctx, r.lastPosition)
	switch {
	case len(tokens) > 0:
		r.pending = tokens
		return Event{}, false
	case state.FinishReason != "":
		r.ended = true
		return Event{Kind: Done, Reason: state.FinishReason}, true
	case state.Failure != "":
		r.ended = true
		return Event{Kind: Lost, Reason: state.Failure, Server: r.attempt.serverName(), Silent: r.attempt.silent.Load(), CrashedAt: r.attempt.crashedAt.Load()}, true
	default:
		return Event{Kind: Heartbeat}, true
	}
}
