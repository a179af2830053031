package entry

import (
	"context"
	"io"
	"sync"
	"time"

	"wisteriafield/internal/decision/generation"
	"wisteriafield/internal/router/keeper"
)

// heartbeatInterval is the time after which a reader gets a Heartbeat if there is
// no other event.
const heartbeatInterval = 150 * time.Millisecond

// reader is a Stream on the replica of this entry, for another entry at which a
// caller reconnected or retried.
type reader struct {
	g            *Generation
	ctx          context.Context
	cancel       context.CancelFunc
	closeOnce    sync.Once
	prefixSent   bool
	lastPosition int    // of the last token that was returned
	keeper       string // as sent to the reader last
	pending      []generation.Token
}

func newReader(g *Generation) *reader {
	g.Replica.Attach()
	ctx, cancel := context.WithCancel(context.Background())
	return &reader{g: g, ctx: ctx, cancel: cancel}
}

// Next returns the next event, or a Heartbeat if there is none for
// heartbeatInterval.
func (r *reader) Next() (keeper.Event, error) {
	if r.ctx.Err() != nil {
		return keeper.Event{}, io.EOF
	}
	if !r.prefixSent {
		return r.prefixEvent(), nil
	}
	if name := r.g.Keeper(); name != r.keeper {
		r.keeper = name
		return keeper.Event{Kind: keeper.Started, Keeper: name}, nil
	}
	if len(r.pending) == 0 {
		if event, ok := r.awaitTokens(); ok {
			return event, nil
		}
	}
	token := r.pending[0]
	r.pending = r.pending[1:]
	r.lastPosition = token.Position
	return keeper.Event{Kind: keeper.Token, Token: token}, nil
}

// Close detaches the reader.
func (r *reader) Close() {
	r.closeOnce.Do(func() {
		r.cancel()
		r.g.Replica.Detach(time.Now())
	})
}

// prefixEvent returns the answer so far.
func (r *reader) prefixEvent() keeper.Event {
	r.prefixSent = true
	r.keeper = r.g.Keeper()
	segments := r.g.Replica.Prefix()
	attempt := "none"
	for _, segment := range segments {
		r.lastPosition += len(segment.Tokens)
		attempt = segment.Attempt
	}
	return keeper.Event{Kind: keeper.Prefix, Segments: segments, Attempt: attempt, Keeper: r.keeper, Version: r.g.req.Version, Digest: r.g.req.Digest}
}

// awaitTokens fills pending and returns false, or returns an event other than
// Token and true.
func (r *reader) awaitTokens() (keeper.Event, bool) {
	ctx, cancel := context.WithTimeout(r.ctx, heartbeatInterval)
	defer cancel()
	tokens, state := r.g.Replica.WaitForTokens(ctx, r.lastPosition)
	switch {
	case len(tokens) > 0:
		r.pending = tokens
		return keeper.Event{}, false
	case state.FinishReason != "":
		return keeper.Event{Kind: keeper.Done, Reason: state.FinishReason}, true
	case state.Failure != "":
		return keeper.Event{Kind: keeper.Lost, Reason: state.Failure}, true
	default:
		return keeper.Event{Kind: keeper.Heartbeat}, true
	}
}
