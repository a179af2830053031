package keeper

import (
	"context"
	"fmt"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"wisteriafield/internal/backend/engine"
	"wisteriafield/internal/decision/admission"
	"wisteriafield/internal/decision/generation"
	"wisteriafield/internal/router/replicas"
)

// ErrUnknownGeneration means that this keeper has no copy of a generation.
var ErrUnknownGeneration = errors.New("no copy of the generation here")

// attempt is one attempt that runs, ran or waits here.
type attempt struct {
	req      Request
	copy     *replicas.Replica
	server   atomic.Pointer[string] // once assigned
	stop     context.CancelFunc
	assigned chan string
	refused  chan admission.Refusal
	started  chan Event // Started or Refused, once
	unwanted atomic.Bool
}

func (one *attempt) serverName() string {
	if name := one.server.Load(); name != nil {
		return *name
	}
	return ""
}

// prefixWords is how many words of a prompt name its cached prefix.
const prefixWords = 32

// Start queues an attempt and returns its events.
func (k *Keeper) Start(req Request) (Stream, error) {
	answer, err := generation.New(req.Generation, req.Segments)
	if err != nil {
		return nil, fmt.Errorf("start: %w", err)
	}
	if err := answer.Open(req.Attempt); err != nil {
		return nil, fmt.Errorf("start: %w", err)
	}
	ctx, stop := context.WithCancel(context.Background())
	one := &attempt{
		req:      req,
		copy:     replicas.New(req.Organisation, req.Digest, answer),
		stop:     stop,
		assigned: make(chan string, 1),
		refused:  make(chan admission.Refusal, 1),
		started:  make(chan Event, 1),
	}
	if k.deps.Members.Stopping() {
		one.started <- Event{Kind: Refused, Reason: "Stopping"}
		return k.follow(one, false), nil
	}
	if refused := k.offer(one); refused != nil {
		one.started <- *refused
		return k.follow(one, false), nil
	}
	go k.run(ctx, one)
	return k.follow(one, false), nil
}

// Follow returns the copy of a generation and the events after it.
func (k *Keeper) Follow(generationID, organisation string) (Stream, error) {
	k.mu.Lock()
	one := k.latest[generationID]
	k.mu.Unlock()
	if one == nil || one.copy.Organisation != organisation {
		return nil, ErrUnknownGeneration
	}
	return k.follow(one, true), nil
}

// Cancel stops an attempt as soon as nobody follows it.
func (k *Keeper) Cancel(attemptID string) {
	k.mu.Lock()
	one := k.attempts[attemptID]
	k.mu.Unlock()
	if one == nil {
		return
	}
	one.unwanted.Store(true)
	if one.copy.Readers() == 0 {
		one.stop()
	}
}

// leave counts a follower out.
func (one *attempt) leave() {
	one.copy.Detach(time.Now())
	if one.unwanted.Load() && one.copy.Readers() == 0 {
		one.stop()
	}
}

func (k *Keeper) offer(one *attempt) *Event {
	now := time.Now()
	k.mu.Lock()
	defer k.mu.Unlock()
	k.adopt(one.req.Servers, now)
	k.sync(now)
	it := k.item(one.req, now)
	if one.req.OnlyFree && k.queue.EstimateWait(it) > 0 {
		event := k.refusal(one.req, admission.Refusal{Item: it, Cause: admission.Busy, RetryAt: now}, now)
		return &event
	}
	if r := k.queue.Offer(now, it); r != nil {
		event := k.refusal(one.req, *r, now)
		return &event
	}
	k.waiting[it.ID] = one
	k.attempts[one.req.Attempt] = one
	k.latest[one.req.Generation] = one
	k.dispatch(now)
	return nil
}

func (k *Keeper) refusal(req Request, r admission.Refusal, now time.Time) Event {
	refusedTotal(r.Cause).Inc()
	needs := ModelKey(req.Model, req.Version, req.Adapter)
	wait, _ := k.wait(needs)
	return Event{
		Kind:         Refused,
		Reason:       string(r.Cause),
		BetterKeeper: k.deps.BetterKeeper(needs, k.deps.Members.Self().Name),
		ExpectedWait: wait,
		RetryAfter:   r.RetryAt.Sub(now),
	}
}

// run waits for a slot and runs the attempt there.
func (k *Keeper) run(ctx context.Context, one *attempt) {
	defer one.stop()
	select {
	case server := <-one.assigned:
		one.server.Store(&server)
	case r := <-one.refused:
		now := time.Now()
		k.mu.Lock()
		event := k.refusal(one.req, r, now)
		k.mu.Unlock()
		k.forget(one)
		one.started <- event
		return
	case <-ctx.Done():
		k.withdraw(one)
		k.forget(one)
		one.started <- Event{Kind: Refused, Reason: "Cancelled"}
		return
	}
	defer k.release(one)
	k.generate(ctx, one)
}

// withdraw takes a waiting attempt out of the queue, with the slot that it may
// have got meanwhile.
func (k *Keeper) withdraw(one *attempt) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.queue.Remove(one.req.Attempt)
	delete(k.waiting, one.req.Attempt)
	k.queue.Release(one.req.Attempt)
	k.dispatch(time.Now())
}

func (k *Keeper) release(one *attempt) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.queue.Release(one.req.Attempt)
	k.dispatch(time.Now())
}

// generate runs the attempt on its server until it is done or lost.
func (k *Keeper) generate(ctx context.Context, one *attempt) {
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	address := k.address(one.serverName())
	k.cancelReplaced(one.req)
	stream, err := k.deps.Engines.Generate(ctx, address, engineRequest(one.req))
	if err != nil {
		k.failStart(ctx, one, err)
		return
	}
	defer stream.Close()
	attemptsTotal.Inc()
	one.started <- Event{Kind: Started, Server: one.serverName()}
	w := newWatchdog(k, one, address, stop)
	defer w.stop()
	for {
		line, err := stream.Next()
		if err != nil {
			k.lose(one, w.cause(err))
			return
		}
		w.progress()
		if line.Done != "" {
			one.copy.Finish(one.req.Attempt, line.Done)
			return
		}
		t := generation.Token{Generation: one.req.Generation, Attempt: one.req.Attempt, Position: line.Position, Text: line.Text}
		if v := one.copy.Accept(t); v != generation.Accepted {
			k.lose(one, "token "+string(v))
			return
		}
		tokensTotal.Inc()
	}
}

// failStart tells that an attempt did not start at its engine. An engine that
// can't be reached is left out until a load report comes from it again.
func (k *Keeper) failStart(ctx context.Context, one *attempt, err error) {
	k.deps.Log.WithField("server", one.serverName()).Debugf("start failed: %v", err)
	reason := "EngineRefused"
	if ctx.Err() == nil && !errors.Is(err, engine.ErrRefused) && !errors.Is(err, engine.ErrModelNotServed) {
		reason = "EngineUnreachable"
		k.markDown(one.serverName())
	}
	k.forget(one)
	one.started <- Event{Kind: Refused, Reason: reason, Server: one.serverName(), RetryAfter: retryElsewhere}
}

// forget drops an attempt that was not run.
func (k *Keeper) forget(one *attempt) {
	k.mu.Lock()
	defer k.mu.Unlock()
	delete(k.attempts, one.req.Attempt)
	if k.latest[one.req.Generation] == one {
		delete(k.latest, one.req.Generation)
	}
}

// retryElsewhere is the hint for work that another server may take at once.
const retryElsewhere = 10 * time.Millisecond

func (k *Keeper) lose(one *attempt, cause string) {
	k.deps.Log.WithFields(logrus.Fields{"server": one.serverName(), "attempt": one.req.Attempt}).Infof("attempt lost: %s", cause)
	lostTotal.Inc()
	one.copy.MarkLost(one.req.Attempt, cause)
}

// cancelReplaced stops the attempt that this one replaces, if its engine still
// runs it. The engine may be gone, so nothing waits for it.
func (k *Keeper) cancelReplaced(req Request) {
	if req.Replaces == nil {
		return
	}
	address := k.address(req.Replaces.Server)
	if address == "" {
		return
	}
	go func() {
		_ = k.deps.Engines.Cancel(context.Background(), address, req.Generation, req.Replaces.Attempt)
	}()
}
