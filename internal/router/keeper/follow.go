package keeper

import (
	"context"
	"io"
	"sync"
	"time"

	"wisteriafield/internal/decision/generation"
)

// beatEvery is how often a keeper tells a follower that it is there.
const beatEvery = 150 * time.Millisecond

// follower is a Stream on an attempt of this process.
type follower struct {
	k       *Keeper
	one     *attempt
	ctx     context.Context
	cancel  context.CancelFunc
	next    int // position of the last token that was given
	started bool
	prefix  bool // the prefix is still to be given
	ended   bool
	pending []generation.Token
	once    sync.Once
}

func (k *Keeper) follow(one *attempt, whole bool) *follower {
	one.copy.Attach()
	ctx, cancel := context.WithCancel(context.Background())
	f := &follower{k: k, one: one, ctx: ctx, cancel: cancel, next: one.req.Accepted(), prefix: whole, started: whole}
	return f
}

// Next returns the next event; a Beat if nothing else came for a while.
func (f *follower) Next() (Event, error) {
	if f.ended || f.ctx.Err() != nil {
		return Event{}, io.EOF
	}
	if f.prefix {
		return f.givePrefix(), nil
	}
	if !f.started {
		return f.awaitStart()
	}
	if len(f.pending) == 0 {
		if event, ok := f.awaitTokens(); ok {
			return event, nil
		}
	}
	t := f.pending[0]
	f.pending = f.pending[1:]
	f.next = t.Position
	return Event{Kind: Token, Token: t}, nil
}

// Close stops following.
func (f *follower) Close() {
	f.once.Do(func() {
		f.cancel()
		f.one.leave()
	})
}

func (f *follower) givePrefix() Event {
	f.prefix = false
	segments := f.one.copy.Prefix()
	f.next = 0
	for _, s := range segments {
		f.next += len(s.Tokens)
	}
	req := &f.one.req
	return Event{
		Kind: Prefix, Segments: segments, Attempt: req.Attempt, Server: f.one.serverName(),
		Keeper: f.k.deps.Members.Self().Name, Version: req.Version, Digest: req.Digest,
	}
}

func (f *follower) awaitStart() (Event, error) {
	timer := time.NewTimer(beatEvery)
	defer timer.Stop()
	select {
	case event := <-f.one.started:
		f.started = true
		if event.Kind == Refused {
			f.ended = true
		}
		return event, nil
	case <-timer.C:
		return Event{Kind: Heartbeat}, nil
	case <-f.ctx.Done():
		return Event{}, io.EOF
	}
}

// awaitTokens fills pending, or returns an event that is not a token.
func (f *follower) awaitTokens() (Event, bool) {
	ctx, cancel := context.WithTimeout(f.ctx, beatEvery)
	defer cancel()
	tokens, state := f.one.copy.WaitForTokens(ctx, f.next)
	switch {
	case len(tokens) > 0:
		f.pending = tokens
		return Event{}, false
	case state.FinishReason != "":
		f.ended = true
		return Event{Kind: Done, Reason: state.FinishReason}, true
	case state.Failure != "":
		f.ended = true
		return Event{Kind: Lost, Reason: state.Failure, Server: f.one.serverName()}, true
	default:
		return Event{Kind: Heartbeat}, true
	}
}
