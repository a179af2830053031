package service

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"time"

	"github.com/pkg/errors"

	backend "wisteriafield/internal/backend/service"
	"wisteriafield/internal/decision/claim"
	"wisteriafield/internal/decision/invariant"
	"wisteriafield/internal/decision/storehistory"
	"wisteriafield/platform/kv"
)

// save writes an outcome to the store. If that takes longer than saveTimeout, it
// continues in the background; meanwhile other routers get the outcome from this
// router's attempt table.
func (runner *NonIdempotentRunner) save(key string, final *claim.Record, revision int64) {
	saved := make(chan struct{})
	runner.pendingSaves.Add(1)
	go func() {
		defer runner.pendingSaves.Done()
		defer close(saved)
		err := runner.putOutcome(context.Background(), key, final, revision)
		for err != nil && time.Now().Before(final.ExpiresAt) {
			if _, err = runner.trySave(context.Background(), key, final); err != nil {
				time.Sleep(saveRetryDelay)
			}
		}
	}()
	timer := time.NewTimer(saveTimeout)
	defer timer.Stop()
	select {
	case <-saved:
	case <-timer.C:
	}
}

// trySave writes an outcome unless the store has it, and reports whether it was written.
func (runner *NonIdempotentRunner) trySave(ctx context.Context, key string, final *claim.Record) (bool, error) {
	era := runner.deps.Store.Era()
	found, revision, err := runner.get(ctx, key)
	if err != nil {
		return false, err
	}
	mark, err := runner.restores.mark(ctx)
	if err != nil {
		return false, err
	}
	switch claim.NextSave(found, final, mark.MayHaveLost(final.ExpiresAt)) {
	case claim.Write:
		return true, runner.putOutcome(ctx, key, final, revision)
	case claim.Kept:
		return false, runner.markSaved(key, final, era, revision)
	default:
		invariant.Check(false, "claim of dispatched attempt %s was taken over", final.Attempt)
		return false, nil
	}
}

// putOutcome writes an outcome over the record of the given revision.
func (runner *NonIdempotentRunner) putOutcome(ctx context.Context, key string, final *claim.Record, revision int64) error {
	era := runner.deps.Store.Era()
	written, err := runner.put(ctx, key, final, revision)
	if err != nil {
		return err
	}
	return runner.markSaved(key, final, era, written)
}

// markSaved remembers where in the store's history an outcome is. It fails if the store
// was restored since the given era.
func (runner *NonIdempotentRunner) markSaved(key string, final *claim.Record, era, revision int64) error {
	if newest := runner.deps.Store.Era(); newest != era {
		return fmt.Errorf("store was restored to era %d while an outcome was saved: %w", newest, kv.ErrUnavailable)
	}
	runner.deps.Attempts.MarkSaved(final.Attempt, key, storehistory.Position{Era: era, Revision: revision})
	return nil
}

func (runner *NonIdempotentRunner) put(ctx context.Context, key string, r *claim.Record, revision int64) (int64, error) {
	body, err := json.Marshal(r)
	if err != nil {
		return 0, fmt.Errorf("encode claim: %w", err)
	}
	return runner.deps.Store.Put(ctx, key, body, revision, "")
}

func (runner *NonIdempotentRunner) get(ctx context.Context, key string) (*claim.Record, int64, error) {
	v, err := runner.deps.Store.Get(ctx, key)
	if errors.Is(err, kv.ErrNotFound) {
		return nil, 0, nil
	}
	if err != nil {
		return nil, 0, err
	}
	var r claim.Record
	if err := json.Unmarshal(v.Body, &r); err != nil {
		return nil, 0, fmt.Errorf("decode claim: %w", err)
	}
	return &r, v.Revision, nil
}

func outcomeOf(a *backend.Answer) *claim.Outcome {
	o := &claim.Outcome{Status: a.Status, ContentType: a.Header.Get("Content-Type"), Body: a.Body}
	if len(o.Body) > maxRecordedBodyBytes {
		o.Body, o.Truncated = bytes.Clone(o.Body[:maxRecordedBodyBytes]), true // lets go of the rest
	}
	return o
}
