package entry

import (
	"context"
	"io"
	"sync"
	"time"

	"wisteriafield/internal/decision/generation"
	"wisteriafield/internal/router/keeper"
)

const beatEvery = 150 * time.Millisecond

// relay is a Stream on the copy of this entry, for an entry that a retry came
// to.
type relay struct {
	g       *Generation
	ctx     context.Context
	cancel  context.CancelFunc
	once    sync.Once
	prefix  bool
	next    int
	keeper  string
	pending []generation.Token
}

func newRelay(g *Generation) *relay {
	g.Replica.Attach()
	ctx, cancel := context.WithCancel(context.Background())
	return &relay{g: g, ctx: ctx, cancel: cancel}
}

// Next returns the next event; a Beat if nothing else came for a while.
func (r *relay) Next() (keeper.Event, error) {
	if r.ctx.Err() != nil {
		return keeper.Event{}, io.EOF
	}
	if !r.prefix {
		return r.givePrefix(), nil
	}
	if name := r.g.Keeper(); name != r.keeper {
		r.keeper = name
		return keeper.Event{Kind: keeper.Started, Keeper: name}, nil
	}
	if len(r.pending) == 0 {
		if event, ok := r.await(); ok {
			return event, nil
		}
	}
	t := r.pending[0]
	r.pending = r.pending[1:]
	r.next = t.Position
	return keeper.Event{Kind: keeper.Token, Token: t}, nil
}

// Close stops the relay.
func (r *relay) Close() {
	r.once.Do(func() {
		r.cancel()
		r.g.Replica.Detach(time.Now())
	})
}

func (r *relay) givePrefix() keeper.Event {
	r.prefix = true
	r.keeper = r.g.Keeper()
	segments := r.g.Replica.Prefix()
	attempt := "none"
	for _, s := range segments {
		r.next += len(s.Tokens)
		attempt = s.Attempt
	}
	return keeper.Event{Kind: keeper.Prefix, Segments: segments, Attempt: attempt, Keeper: r.keeper, Version: r.g.req.Version, Digest: r.g.req.Digest}
}

func (r *relay) await() (keeper.Event, bool) {
	ctx, cancel := context.WithTimeout(r.ctx, beatEvery)
	defer cancel()
	tokens, state := r.g.Replica.WaitForTokens(ctx, r.next)
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
