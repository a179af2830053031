package keeper

import (
	"context"
	"fmt"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"wisteriafield/internal/backend/engine"
	"wisteriafield/internal/backend/server"
	"wisteriafield/internal/decision/admission"
	"wisteriafield/internal/decision/generation"
	"wisteriafield/internal/router/quarantine"
	"wisteriafield/internal/router/replicas"
)

// ErrUnknownGeneration means that this keeper has no replica of a generation.
var ErrUnknownGeneration = errors.New("keeper has no replica of the generation")

// attempt is an attempt that waits in this keeper's queue, runs, or has ended.
type attempt struct {
	req             Request
	replica         *replicas.Replica
	server          atomic.Pointer[string] // nil until a slot is assigned
	stop            context.CancelFunc
	assigned        chan string
	refused         chan admission.Refusal
	started         chan Event // gets one event: Started, Refused, or Lost if the engine crashed
	cancelRequested atomic.Bool
	crashedAt       atomic.Int64    // see Event.CrashedAt
	silent          atomic.Bool     // see Event.Silent
	suspect         *server.Request // the request, as one that may crash engines
}

// serverName returns the assigned server, or "" if there is none yet.
func (a *attempt) serverName() string {
	if name := a.server.Load(); name != nil {
		return *name
	}
	return ""
}

// prefixKeyWords is the number of leading words of a prompt that identify its
// cached prefix.
const prefixKeyWords = 32

// Start queues an attempt and returns a stream of its events.
func (k *Keeper) Start(req Request) (Stream, error) {
	answer, err := generation.New(req.Generation, req.Segments)
	if err != nil {
		return nil, fmt.Errorf("start: %w", err)
	}
	if err := answer.Open(req.Attempt); err != nil {
		return nil, fmt.Errorf("start: %w", err)
	}
	ctx, stop := context.WithCancel(context.Background())
	a := &attempt{
		req:      req,
		suspect:  quarantine.Identify(req.Attempt, req.Organisation, req.Digest),
		replica:  replicas.New(req.Organisation, req.Digest, answer),
		stop:     stop,
		assigned: make(chan string, 1),
		refused:  make(chan admission.Refusal, 1),
		started:  make(chan Event, 1),
	}
	if k.deps.Members.Stopping() {
		a.started <- Event{Kind: Refused, Reason: "Stopping"}
		return k.newReader(a, false), nil
	}
	if event := k.enqueue(a); event != nil {
		a.started <- *event
		return k.newReader(a, false), nil
	}
	go k.run(ctx, a)
	return k.newReader(a, false), nil
}

// Follow returns a stream that starts with the replica of a generation and goes
// on with its later events.
func (k *Keeper) Follow(generationID, organisation string) (Stream, error) {
	k.mu.Lock()
	a := k.latest[generationID]
	k.mu.Unlock()
	if a == nil || a.replica.Organisation != organisation {
		return nil, ErrUnknownGeneration
	}
	return k.newReader(a, true), nil
}

// Cancel stops an attempt as soon as it has no readers.
func (k *Keeper) Cancel(attemptID string) {
	k.mu.Lock()
	a := k.attempts[attemptID]
	k.mu.Unlock()
	if a == nil {
		return
	}
	a.cancelRequested.Store(true)
	if a.replica.Readers() == 0 {
		a.stop()
	}
}

// detachReader removes a reader, and stops a cancelled attempt with the last one.
func (a *attempt) detachReader() {
	a.replica.Detach(time.Now())
	if a.cancelRequested.Load() && a.replica.Readers() == 0 {
		a.stop()
	}
}

// enqueue puts an attempt into the queue, or returns the event that refuses it.
func (k *Keeper) enqueue(a *attempt) *Event {
	now := time.Now()
	k.mu.Lock()
	defer k.mu.Unlock()
	k.adopt(a.req.Servers, now)
	k.sync(now)
	item := k.queueItem(a.req, now)
	if a.req.OnlyFree && k.queue.EstimateWait(item) > 0 {
		event := k.refusedEvent(a.req, admission.Refusal{Item: item, Cause: admission.Busy, RetryAt: now}, now)
		return &event
	}
	if refusal := k.queue.Offer(now, item); refusal != nil {
		event := k.refusedEvent(a.req, *refusal, now)
		return &event
	}
	k.waiting[item.ID] = a
	k.attempts[a.req.Attempt] = a
	k.latest[a.req.Generation] = a
	k.dispatch(now)
	return nil
}

// refusedEvent counts a refusal and returns its event. The caller holds mu.
func (k *Keeper) refusedEvent(req Request, refusal admission.Refusal, now time.Time) Event {
	refusedTotal(refusal.Cause).Inc()
	modelKey := ModelKey(req.Model, req.Version, req.Adapter)
	wait, _ := k.expectedWait(modelKey)
	return Event{
		Kind:         Refused,
		Reason:       string(refusal.Cause),
		BetterKeeper: k.deps.BetterKeeper(modelKey, k.deps.Members.Self().Name),
		ExpectedWait: wait,
		RetryAfter:   refusal.RetryAt.Sub(now),
	}
}

// run waits for a slot and runs the attempt on its server.
func (k *Keeper) run(ctx context.Context, a *attempt) {
	defer a.stop()
	select {
	case server := <-a.assigned:
		a.server.Store(&server)
	case refusal := <-a.refused:
		now := time.Now()
		k.mu.Lock()
		event := k.refusedEvent(a.req, refusal, now)
		k.mu.Unlock()
		k.removeAttempt(a)
		a.started <- event
		return
	case <-ctx.Done():
		k.withdraw(a)
		k.removeAttempt(a)
		a.started <- Event{Kind: Refused, Reason: "Cancelled"}
		return
	}
	defer k.release(a)
	k.generate(ctx, a)
}

// withdraw removes a waiting attempt from the queue and releases the slot that it
// may have got in the meantime.
func (k *Keeper) withdraw(a *attempt) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.queue.Remove(a.req.Attempt)
	delete(k.waiting, a.req.Attempt)
	k.queue.Release(a.req.Attempt)
	k.dispatch(time.Now())
}

// release frees the attempt's slot and dispatches waiting work to it.
func (k *Keeper) release(a *attempt) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.queue.Release(a.req.Attempt)
	k.dispatch(time.Now())
}

// generate runs the attempt on its server until it is complete or lost.
func (k *Keeper) generate(ctx context.Context, a *attempt) {
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	if until, refused := k.deps.Quarantine.Refuses(a.suspect); refused {
		k.removeAttempt(a)
		a.started <- Event{Kind: Refused, Reason: "Quarantined", RetryAfter: time.Until(until)}
		return
	}
	address := k.engineAddress(a.serverName())
	k.cancelReplaced(a.req)
	stream, err := k.deps.Engines.Generate(ctx, address, engineRequest(a.req))
	if err != nil {
		k.reportStartFailure(ctx, a, address, err)
		return
	}
	defer stream.Close()
	attemptsTotal.Inc()
	a.started <- Event{Kind: Started, Server: a.serverName()}
	w := newWatchdog(k, a, address, stop)
	defer w.stop()
	for {
		line, err := stream.Next()
		if err != nil {
			k.checkCrash(ctx, a, address, w.tokens(), err)
			k.markLost(a, w.cause(err))
			return
		}
		w.recordProgress()
		if line.Done != "" {
			k.deps.Quarantine.ServerFinished(a.suspect)
			a.replica.Finish(a.req.Attempt, line.Done)
			return
		}
		token := generation.Token{Generation: a.req.Generation, Attempt: a.req.Attempt, Position: line.Position, Text: line.Text}
		if verdict := a.replica.Accept(token); verdict != generation.Accepted {
			k.markLost(a, "token "+string(verdict))
			return
		}
		tokensTotal.Inc()
		k.deps.Quarantine.ServerAnswered(a.suspect, w.tokens())
	}
}

// reportStartFailure refuses an attempt that did not start at its engine. An
// engine that can't be reached gets no work until its next load report.
func (k *Keeper) reportStartFailure(ctx context.Context, a *attempt, address string, err error) {
	k.deps.Log.WithField("server", a.serverName()).Debugf("attempt did not start at its engine: %v", err)
	reason := "EngineRefused"
	answered := errors.Is(err, engine.ErrRefused) || errors.Is(err, engine.ErrModelNotServed)
	if ctx.Err() != nil && !answered && wasSent(err) {
		k.checkCrash(ctx, a, address, 0, err)
	}
	if ctx.Err() == nil && !answered {
		reason = "EngineUnreachable"
		k.markDown(a.serverName())
		if wasSent(err) && k.checkCrash(ctx, a, address, 0, err) {
			k.removeAttempt(a)
			a.started <- Event{Kind: Lost, Reason: "engine crashed", Server: a.serverName(), CrashedAt: a.crashedAt.Load()}
			return
		}
	}
	k.removeAttempt(a)
	a.started <- Event{Kind: Refused, Reason: reason, Server: a.serverName(), RetryAfter: retryElsewhereDelay}
}

// removeAttempt deletes an attempt that was not run.
func (k *Keeper) removeAttempt(a *attempt) {
	k.mu.Lock()
	defer k.mu.Unlock()
	delete(k.attempts, a.req.Attempt)
	if k.latest[a.req.Generation] == a {
		delete(k.latest, a.req.Generation)
	}
}

// retryElsewhereDelay is the retry delay sent to the entry for work that another
// server may run at once.
const retryElsewhereDelay = 10 * time.Millisecond

// markLost ends an attempt and passes the cause on to its readers.
func (k *Keeper) markLost(a *attempt, cause string) {
	k.deps.Log.WithFields(logrus.Fields{"server": a.serverName(), "attempt": a.req.Attempt}).Infof("attempt lost: %s", cause)
	lostTotal.Inc()
	a.replica.MarkLost(a.req.Attempt, cause)
}

// cancelReplaced cancels the attempt that a request replaces, if its engine still
// runs it. It does not wait, since the engine may be gone.
func (k *Keeper) cancelReplaced(req Request) {
	if req.Replaces == nil {
		return
	}
	address := k.engineAddress(req.Replaces.Server)
	if address == "" {
		return
	}
	go func() {
		_ = k.deps.Engines.Cancel(context.Background(), address, req.Generation, req.Replaces.Attempt)
	}()
}
