package service

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"github.com/pkg/errors"

	backend "wisteriafield/internal/backend/service"
	"wisteriafield/internal/decision/claim"
	"wisteriafield/internal/decision/invariant"
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
		for time.Now().Before(final.ExpiresAt) {
			_, err := runner.put(context.Background(), key, final, revision)
			if err == nil {
				return
			}
			found, rev, err := runner.get(context.Background(), key)
			if err == nil {
				if found != nil && found.Attempt != final.Attempt || found != nil && found.State == final.State {
					invariant.Check(found.Attempt == final.Attempt, "claim of dispatched attempt %s was taken over", final.Attempt)
					return
				}
				revision = rev
				continue
			}
			time.Sleep(saveRetryDelay)
		}
	}()
	timer := time.NewTimer(saveTimeout)
	defer timer.Stop()
	select {
	case <-saved:
	case <-timer.C:
	}
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
		o.Body, o.Truncated = o.Body[:maxRecordedBodyBytes], true
	}
	return o
}
