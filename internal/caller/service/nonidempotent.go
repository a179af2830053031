package service

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/google/uuid"
	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	backend "wisteriafield/internal/backend/service"
	"wisteriafield/internal/base/loop"
	"wisteriafield/internal/caller/apierror"
	"wisteriafield/internal/config/document"
	"wisteriafield/internal/decision/claim"
	"wisteriafield/internal/decision/invariant"
	"wisteriafield/platform/kv"
)

var (
	claimsTotal   = metrics.NewCounter("wisteriafield_claims_total")
	settledTotal  = metrics.NewCounter("wisteriafield_claims_settled_total")
	unknownTotal  = metrics.NewCounter("wisteriafield_outcomes_unknown_total")
	replayedTotal = metrics.NewCounter("wisteriafield_outcomes_replayed_total")
	consentsTotal = metrics.NewCounter("wisteriafield_consents_total")
)

const (
	settleTries   = 3
	settlePause   = 100 * time.Millisecond
	recordWithin  = 700 * time.Millisecond // before the caller is answered anyway
	recordRetry   = time.Second
	pollEvery     = 250 * time.Millisecond
	waitForOther  = 4 * time.Second
	maxRecordBody = 256 << 10 // bytes of an outcome that are kept
)

// Store is the part of the platform's store that claims need.
type Store interface {
	Get(ctx context.Context, key string) (kv.Value, error)
	Put(ctx context.Context, key string, body []byte, revision int64, lease string) (int64, error)
}

// ConsentClient asks the routers that hold claims.
type ConsentClient interface {
	// RequestConsent asks a router to give up an attempt. If it was dispatched, the
	// router answers when it ended or wait is over.
	RequestConsent(ctx context.Context, r claim.Record, wait time.Duration) (claim.Consent, claim.Record, error)
}

// NonIdempotentDeps is what Once needs.
type NonIdempotentDeps struct {
	Store         Store
	Attempts      *claim.AttemptTable
	ConsentClient ConsentClient
	Router        string
	Incarnation   string
	Log           *logrus.Entry
}

// NonIdempotentRunner runs calls that must not repeat.
type NonIdempotentRunner struct {
	deps NonIdempotentDeps
	send func(ctx context.Context, s *document.Service, call backend.Call) (*backend.Answer, error)

	saving sync.WaitGroup // outcomes that are not in the store yet
}

// NewNonIdempotentRunner returns a runner.
func NewNonIdempotentRunner(deps NonIdempotentDeps) *NonIdempotentRunner {
	return &NonIdempotentRunner{deps: deps}
}

// Flush waits until all outcomes are in the store, or ctx ends.
func (o *NonIdempotentRunner) Flush(ctx context.Context) {
	done := make(chan struct{})
	go func() {
		o.saving.Wait()
		close(done)
	}()
	select {
	case <-done:
	case <-ctx.Done():
	}
}

type onceRequest struct {
	Key       string
	Digest    string
	ExpiresAt time.Time
	Service   *document.Service
	Call      backend.Call
}

// result is the answer to the caller: the service's, or a refusal.
type result struct {
	outcome *claim.Outcome
	refusal *apierror.Error
}

func (r result) write(w http.ResponseWriter) {
	if r.refusal != nil {
		r.refusal.Write(w)
		return
	}
	if r.outcome.Truncated {
		w.Header().Set("Wisteriafield-Truncated", "true")
	}
	w.Header().Set("Content-Type", r.outcome.ContentType)
	w.WriteHeader(r.outcome.Status)
	_, _ = w.Write(r.outcome.Body)
}

// run is one request on its way to a claim.
type run struct {
	o        *NonIdempotentRunner
	req      onceRequest
	attempt  string
	found    *claim.Record
	revision int64
	deadline time.Time // for waiting on another holder
}

// Do claims the key and sends the call, or tells what became of it before.
func (o *NonIdempotentRunner) Do(ctx context.Context, req onceRequest) result {
	r := &run{o: o, req: req, attempt: uuid.NewString(), deadline: time.Now().Add(waitForOther)}
	o.deps.Attempts.Register(r.attempt, req.ExpiresAt)
	for {
		switch claim.Next(r.found, r.attempt, req.Digest) {
		case claim.Create, claim.Replace:
			if !r.write(ctx) {
				return r.notRun("the platform's store is out of reach")
			}
		case claim.Send:
			if o.deps.Attempts.Dispatch(r.attempt) {
				return r.dispatch(ctx)
			}
			if !r.startOver(ctx) {
				return r.notRun("another request with the key took over")
			}
		case claim.Replay:
			o.deps.Attempts.Forget(r.attempt)
			replayedTotal.Inc()
			return result{outcome: r.found.Outcome}
		case claim.ReportUnknown:
			o.deps.Attempts.Forget(r.attempt)
			return unknown()
		case claim.Conflict:
			o.deps.Attempts.Forget(r.attempt)
			return result{refusal: apierror.New(apierror.KeyReused, "the key came with another request before")}
		case claim.AskHolder:
			if !r.ask(ctx) {
				o.deps.Attempts.Forget(r.attempt)
				return unknown()
			}
		}
	}
}

func unknown() result {
	unknownTotal.Inc()
	return result{refusal: apierror.New(apierror.UnknownOutcome, "the call may have run; it will not be sent again with this key")}
}

// write creates the claim, or writes over one that was given up. It leaves in
// found what the store holds then, and reports false if that can't be learnt.
func (r *run) write(ctx context.Context) bool {
	mine := r.record(claim.Held)
	claimsTotal.Inc()
	revision, err := r.o.put(ctx, r.req.Key, mine, r.revision)
	if err == nil {
		r.found, r.revision = mine, revision
		return true
	}
	if errors.Is(err, kv.ErrAmbiguous) {
		settledTotal.Inc()
	}
	return r.settle(ctx)
}

// settle reads the claim back, which tells whether a lost write took effect. A
// write that is still on its way can't harm: it expects the same revision.
func (r *run) settle(ctx context.Context) bool {
	for try := 0; try < settleTries; try++ {
		if try > 0 && !loop.Pause(ctx, settlePause) {
			return false
		}
		found, revision, err := r.o.get(ctx, r.req.Key)
		if err == nil {
			r.found, r.revision = found, revision
			return ctx.Err() == nil
		}
	}
	return false
}

func (r *run) record(state claim.State) *claim.Record {
	return &claim.Record{
		Digest: r.req.Digest, Router: r.o.deps.Router, Incarnation: r.o.deps.Incarnation,
		Attempt: r.attempt, State: state, ExpiresAt: r.req.ExpiresAt,
	}
}

// notRun gives the attempt up for good before it says so. The claim may be in
// the store all the same; a retry gets it by this router's consent.
func (r *run) notRun(why string) result {
	consent, _ := r.o.deps.Attempts.Abandon(r.attempt)
	if !invariant.Check(consent == claim.ConsentGiven, "attempt %s was dispatched and is called not run", r.attempt) {
		return unknown()
	}
	return result{refusal: apierror.NewRetryable(apierror.NotRun, why+"; the call was not run", time.Now().Add(time.Second))}
}

// startOver goes on with a new attempt after another request with the same key
// got this one's consent.
func (r *run) startOver(ctx context.Context) bool {
	if time.Now().After(r.deadline) {
		return false
	}
	r.attempt = uuid.NewString()
	r.o.deps.Attempts.Register(r.attempt, r.req.ExpiresAt)
	return r.settle(ctx)
}

// dispatch sends the call, which the book allowed once.
func (r *run) dispatch(ctx context.Context) result {
	answer, err := r.o.send(ctx, r.req.Service, r.req.Call)
	if err != nil && isNotSent(err) {
		r.o.deps.Attempts.UndoDispatch(r.attempt)
		refused := r.notRun("no server of the service can be reached")
		r.release()
		return refused
	}
	final := r.record(claim.Unknown)
	if err == nil {
		final.State = claim.Done
		final.Outcome = outcomeOf(answer)
	}
	r.o.deps.Attempts.End(r.attempt, *final)
	r.o.save(r.req.Key, final, r.revision)
	if err != nil {
		r.o.deps.Log.Infof("outcome unknown: %v", err)
		return unknown()
	}
	return result{outcome: &claim.Outcome{Status: answer.Status, ContentType: answer.Header.Get("Content-Type"), Body: answer.Body}}
}

// release tells the store that the claim was given up. It is only a help: while
// this router lives, its consent does the same.
func (r *run) release() {
	ctx, cancel := context.WithTimeout(context.Background(), recordWithin)
	defer cancel()
	_, _ = r.o.put(ctx, r.req.Key, r.record(claim.Released), r.revision)
}

// ask asks the claim's holder and leaves the newest record in found. It reports
// false if the outcome stays unknown.
func (r *run) ask(ctx context.Context) bool {
	left := time.Until(r.deadline)
	if left <= 0 || ctx.Err() != nil {
		return false
	}
	consent, final, err := r.o.deps.ConsentClient.RequestConsent(ctx, *r.found, left)
	switch {
	case err == nil && consent == claim.ConsentGiven:
		consentsTotal.Inc()
		released := *r.found
		released.State = claim.Released
		r.found = &released
		return true
	case err == nil && consent == claim.ConsentFinished:
		r.found = &final
		return true
	}
	if !loop.Pause(ctx, pollEvery) {
		return false
	}
	found, revision, err := r.o.get(ctx, r.req.Key)
	if err == nil {
		r.found, r.revision = found, revision
	}
	return true
}
