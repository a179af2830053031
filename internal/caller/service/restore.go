package service

import (
	"context"
	"encoding/json"
	"fmt"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"wisteriafield/internal/base/loop"
	"wisteriafield/internal/decision/claim"
	"wisteriafield/platform/kv"
)

const (
	restoreCheckInterval = 500 * time.Millisecond
	rewriteDelay         = 10 * time.Millisecond // between two outcomes that are written again
)

var rewrittenTotal = metrics.NewCounter("wisteriafield_outcomes_rewritten_total")

// restoreTracker knows which claims the store may have lost.
type restoreTracker struct {
	store Store
	log   *logrus.Entry

	mu    sync.Mutex // held while the mark is read and written
	known bool
	last  claim.RestoreMark
}

// mark returns the mark of the store's era, and writes it if this router is the first that
// sees the era.
func (t *restoreTracker) mark(ctx context.Context) (claim.RestoreMark, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.known && t.last.Era == t.store.Era() {
		return t.last, nil
	}
	var err error
	for i := 0; i < maxResolveReads; i++ {
		if i > 0 && !loop.Sleep(ctx, resolveDelay) {
			break
		}
		// The store may be restored again meanwhile.
		if err = t.refresh(ctx); err == nil && t.last.Era == t.store.Era() {
			t.log.WithFields(logrus.Fields{"era": t.last.Era, "seen_at": t.last.SeenAt}).Info("era of the store is marked for claims")
			return t.last, nil
		}
	}
	if err == nil {
		err = kv.ErrUnavailable
	}
	return claim.RestoreMark{}, fmt.Errorf("mark era of the store: %w", err)
}

// refresh reads the stored mark and replaces it if it is of another era.
func (t *restoreTracker) refresh(ctx context.Context) error {
	v, err := t.store.Get(ctx, claim.RestoreKey)
	if err != nil && !errors.Is(err, kv.ErrNotFound) {
		return fmt.Errorf("get: %w", err)
	}
	var stored *claim.RestoreMark
	if err == nil {
		stored = new(claim.RestoreMark)
		if err := json.Unmarshal(v.Body, stored); err != nil {
			return fmt.Errorf("decode: %w", err)
		}
	}
	era := t.store.Era()
	next, changed := claim.NextMark(stored, era, t.known && t.last.Era < era, time.Now())
	if changed {
		body, err := json.Marshal(next)
		if err != nil {
			return fmt.Errorf("encode: %w", err)
		}
		if _, err := t.store.Put(ctx, claim.RestoreKey, body, v.Revision, ""); err != nil {
			return fmt.Errorf("put: %w", err)
		}
	}
	t.known, t.last = true, next
	return nil
}

// Run writes the outcomes that the store lost again, whenever it was restored, until ctx
// ends.
func (runner *NonIdempotentRunner) Run(ctx context.Context) error {
	var done int64
	loop.Every(ctx, restoreCheckInterval, func(time.Time) {
		era := runner.deps.Store.Era()
		if era == done {
			return
		}
		if err := runner.rewriteLost(ctx, era); err != nil {
			runner.deps.Log.Infof("outcomes that the store lost are not all written again: %v", err)
			return
		}
		done = era
	})
	return nil
}

// rewriteLost writes outcomes of earlier eras again, the newest first, until it finds one
// that the store kept: a copy that has it also has what was written before.
func (runner *NonIdempotentRunner) rewriteLost(ctx context.Context, era int64) error {
	if _, err := runner.restores.mark(ctx); err != nil {
		return err
	}
	for _, outcome := range runner.deps.Attempts.SavedBefore(era) {
		lost, err := runner.trySave(ctx, outcome.Key, &outcome.Record)
		if err != nil {
			return err
		}
		if !lost {
			return nil
		}
		rewrittenTotal.Inc()
		if !loop.Sleep(ctx, rewriteDelay) {
			return ctx.Err()
		}
	}
	return nil
}
