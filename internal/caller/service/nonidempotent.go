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
	"wisteriafield/internal/caller/openai"
	"wisteriafield/internal/config/document"
	"wisteriafield/internal/decision/claim"
	"wisteriafield/internal/decision/invariant"
	"wisteriafield/platform/kv"
)

var (
	claimsTotal   = metrics.NewCounter("wisteriafield_claims_total")
	resolvedTotal = metrics.NewCounter("wisteriafield_claims_settled_total")
	unknownTotal  = metrics.NewCounter("wisteriafield_outcomes_unknown_total")
	replayedTotal = metrics.NewCounter("wisteriafield_outcomes_replayed_total")
	consentsTotal = metrics.NewCounter("wisteriafield_consents_total")
)

const (
	maxResolveReads      = 3
	resolveDelay         = 100 * time.Millisecond
	saveTimeout          = 700 * time.Millisecond // then the caller is answered without waiting for the store
	saveRetryDelay       = time.Second
	pollInterval         = 250 * time.Millisecond
	maxHolderWait        = 4 * time.Second
	maxRecordedBodyBytes = 256 << 10 // longer bodies are truncated in the record
)

// Store is the subset of the platform's store that claims need.
type Store interface {
	Get(ctx context.Context, key string) (kv.Value, error)
	Put(ctx context.Context, key string, body []byte, revision int64, lease string) (int64, error)
	Era() int64 // newest that an answer named
}

// ConsentClient requests consent from the routers that hold claims.
type ConsentClient interface {
	// RequestConsent asks the holder of the claim r to abandon its attempt. If the
	// attempt was dispatched, the holder replies when the attempt has ended or
	// after wait.
	RequestConsent(ctx context.Context, r claim.Record, wait time.Duration) (claim.Consent, claim.Record, error)
}

// NonIdempotentDeps holds the dependencies of a NonIdempotentRunner.
type NonIdempotentDeps struct {
	Store         Store
	Attempts      *claim.AttemptTable
	ConsentClient ConsentClient
	Router        string
	Incarnation   string
	Log           *logrus.Entry
}

// NonIdempotentRunner runs non-idempotent calls at most once.
type NonIdempotentRunner struct {
	deps NonIdempotentDeps
	send func(ctx context.Context, req nonIdempotentRequest) (*backend.Answer, error)

	pendingSaves sync.WaitGroup // of outcomes that are not in the store yet
	restores     restoreTracker
}

// NewNonIdempotentRunner returns a runner. It can run calls once New has set the
// function that sends them.
func NewNonIdempotentRunner(deps NonIdempotentDeps) *NonIdempotentRunner {
	return &NonIdempotentRunner{deps: deps, restores: restoreTracker{store: deps.Store, log: deps.Log}}
}

// Flush waits until all outcomes are in the store or ctx is done.
func (runner *NonIdempotentRunner) Flush(ctx context.Context) {
	done := make(chan struct{})
	go func() {
		runner.pendingSaves.Wait()
		close(done)
	}()
	select {
	case <-done:
	case <-ctx.Done():
	}
}

type nonIdempotentRequest struct {
	Organisation string
	Key          string
	Digest       string
	ExpiresAt    time.Time
	Service      *document.Service
	Call         backend.Call
}

// result is the answer to the caller: the outcome of the call, or a refusal.
type result struct {
	outcome *claim.Outcome
	refusal *apierror.Error
	answer  *backend.Answer // holds the body of the outcome; nil for a recorded one
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
	openai.LimitWriting(w)
	w.WriteHeader(r.outcome.Status)
	_, _ = w.Write(r.outcome.Body)
}

// requestState is the state of one request while Do handles it. The claim found
// is the one last read from the store, or nil.
type requestState struct {
	runner       *NonIdempotentRunner
	req          nonIdempotentRequest
	attemptID    string
	found        *claim.Record
	revision     int64
	wasRead      bool      // the store was asked for the claim
	waitDeadline time.Time // of the wait for another holder of the claim
}

// Do claims the key and sends the call, or returns the outcome of the earlier call
// with this key.
func (runner *NonIdempotentRunner) Do(ctx context.Context, req nonIdempotentRequest) result {
	r := &requestState{runner: runner, req: req, attemptID: uuid.NewString(), waitDeadline: time.Now().Add(maxHolderWait)}
	runner.deps.Attempts.Register(r.attemptID, req.ExpiresAt)
	for {
		mark, err := runner.restores.mark(ctx)
		if err != nil {
			return r.refuseNotRun("the platform's store is out of reach")
		}
		mayBeLost := mark.MayHaveLost(req.ExpiresAt)
		if mayBeLost && !r.wasRead && !r.resolveClaim(ctx) {
			runner.deps.Attempts.Forget(r.attemptID)
			return unknownOutcome()
		}
		switch claim.Next(r.found, r.attemptID, req.Digest, mayBeLost) {
		case claim.Create, claim.Replace:
			if !r.writeClaim(ctx) {
				return r.refuseNotRun("the platform's store is out of reach")
			}
		case claim.Send:
			if runner.deps.Attempts.Dispatch(r.attemptID) {
				return r.dispatch(ctx)
			}
			if !r.startOver(ctx) {
				return r.refuseNotRun("another request with the key took over")
			}
		case claim.Replay:
			runner.deps.Attempts.Forget(r.attemptID)
			replayedTotal.Inc()
			return result{outcome: r.found.Outcome}
		case claim.ReportUnknown:
			runner.deps.Attempts.Forget(r.attemptID)
			return unknownOutcome()
		case claim.Conflict:
			runner.deps.Attempts.Forget(r.attemptID)
			return result{refusal: apierror.New(apierror.KeyReused, "the key came with another request before")}
		case claim.AskHolder:
			if !r.askHolder(ctx) {
				runner.deps.Attempts.Forget(r.attemptID)
				return unknownOutcome()
			}
		}
	}
}

func unknownOutcome() result {
	unknownTotal.Inc()
	return result{refusal: apierror.New(apierror.UnknownOutcome, "the call may have run; it will not be sent again with this key")}
}

// writeClaim creates the claim, or overwrites one that was released. It sets found
// to the claim in the store afterwards, and returns false if that can't be read.
func (r *requestState) writeClaim(ctx context.Context) bool {
	record := r.newRecord(claim.Held)
	claimsTotal.Inc()
	revision, err := r.runner.put(ctx, r.req.Key, record, r.revision)
	if err == nil {
		r.found, r.revision = record, revision
		return true
	}
	if errors.Is(err, kv.ErrAmbiguous) {
		resolvedTotal.Inc()
	}
	return r.resolveClaim(ctx)
}

// resolveClaim reads the claim back, which shows whether a write whose answer was
// lost took effect. A write that is still in flight does no harm: it expects the
// same revision.
func (r *requestState) resolveClaim(ctx context.Context) bool {
	for i := 0; i < maxResolveReads; i++ {
		if i > 0 && !loop.Sleep(ctx, resolveDelay) {
			return false
		}
		found, revision, err := r.runner.get(ctx, r.req.Key)
		if err == nil {
			r.found, r.revision, r.wasRead = found, revision, true
			return ctx.Err() == nil
		}
	}
	return false
}

func (r *requestState) newRecord(state claim.State) *claim.Record {
	return &claim.Record{
		Digest: r.req.Digest, Router: r.runner.deps.Router, Incarnation: r.runner.deps.Incarnation,
		Attempt: r.attemptID, State: state, ExpiresAt: r.req.ExpiresAt,
	}
}

// refuseNotRun abandons the attempt permanently before it reports the call as not
// run. The claim may be in the store all the same; a retry replaces it with this
// router's consent.
func (r *requestState) refuseNotRun(why string) result {
	consent, _ := r.runner.deps.Attempts.Abandon(r.attemptID)
	if !invariant.Check(consent == claim.ConsentGiven, "attempt %s was dispatched but is reported as not run", r.attemptID) {
		return unknownOutcome()
	}
	return result{refusal: apierror.NewRetryable(apierror.NotRun, why+"; the call was not run", time.Now().Add(time.Second))}
}

// startOver begins a new attempt after another request with the same key got
// consent to the previous one.
func (r *requestState) startOver(ctx context.Context) bool {
	if time.Now().After(r.waitDeadline) {
		return false
	}
	r.attemptID = uuid.NewString()
	r.runner.deps.Attempts.Register(r.attemptID, r.req.ExpiresAt)
	return r.resolveClaim(ctx)
}

// dispatch sends the call, which the attempt table allows once, and records the
// outcome.
func (r *requestState) dispatch(ctx context.Context) result {
	answer, err := r.runner.send(ctx, r.req)
	if err != nil && isNotSent(err) {
		r.runner.deps.Attempts.UndoDispatch(r.attemptID)
		refused := r.refuseNotRun("no server of the service can be reached")
		if until, blocked := blockedUntil(err); blocked && refused.refusal.Code == apierror.NotRun {
			refused.refusal = blockedRefusal(until)
		}
		r.release()
		return refused
	}
	final := r.newRecord(claim.Unknown)
	if err == nil {
		final.State = claim.Done
		final.Outcome = outcomeOf(answer)
	}
	r.runner.deps.Attempts.End(r.attemptID, *final)
	r.runner.save(r.req.Key, final, r.revision)
	if err != nil {
		r.runner.deps.Log.Infof("outcome of the call is unknown: %v", err)
		return unknownOutcome()
	}
	return result{outcome: &claim.Outcome{Status: answer.Status, ContentType: answer.Header.Get("Content-Type"), Body: answer.Body}, answer: answer}
}

// release marks the claim in the store as released. It is best effort: while this
// router lives, its consent has the same effect.
func (r *requestState) release() {
	ctx, cancel := context.WithTimeout(context.Background(), saveTimeout)
	defer cancel()
	_, _ = r.runner.put(ctx, r.req.Key, r.newRecord(claim.Released), r.revision)
}
