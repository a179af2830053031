// Package janitor deletes expired claims, those whose idempotency key is no longer
// accepted. It is active on the router that holds the planner lease.
package janitor

import (
	"context"
	"fmt"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/sirupsen/logrus"

	"wisteriafield/internal/base/loop"
	"wisteriafield/internal/decision/claim"
	"wisteriafield/platform/kv"
)

const (
	listInterval = 100 * time.Millisecond // between lists of the claims of one minute
	deleteDelay  = 10 * time.Millisecond  // between deletions
	lookback     = 48 * time.Hour         // how far back a new leader starts
	gracePeriod  = time.Minute            // between the end of a minute and the deletion of its claims
)

var deletedTotal = metrics.NewCounter("wisteriafield_claims_deleted_total")

// Store is the part of the platform's store that a janitor needs.
type Store interface {
	List(ctx context.Context, prefix string) ([]kv.Value, error)
	Delete(ctx context.Context, key string, revision int64) error
	Era() int64 // newest that an answer named
}

// Deps holds the dependencies of a janitor.
type Deps struct {
	Store    Store
	IsLeader func() bool
	Now      func() time.Time
	Log      *logrus.Entry
}

// Janitor deletes expired claims, one minute of expiry times after the other.
type Janitor struct {
	deps Deps
	next time.Time // first minute that is not done yet; zero while this router is not the leader
	era  int64     // of the store, in which the minutes before next were done
}

// New returns a janitor.
func New(deps Deps) *Janitor { return &Janitor{deps: deps} }

// Run deletes expired claims until ctx ends.
func (j *Janitor) Run(ctx context.Context) error {
	loop.Every(ctx, listInterval, func(time.Time) {
		if err := j.Step(ctx); err != nil {
			j.deps.Log.Debugf("deleting expired claims failed: %v", err)
		}
	})
	return nil
}

// Step deletes the claims of the next minute, if this router is the leader and that
// minute is due.
func (j *Janitor) Step(ctx context.Context) error {
	if !j.deps.IsLeader() {
		j.next = time.Time{}
		return nil
	}
	now := j.deps.Now()
	// Claims that were deleted come back with an older copy of the store.
	if era := j.deps.Store.Era(); j.next.IsZero() || era != j.era {
		j.era = era
		j.next = now.Add(-lookback).Truncate(time.Minute)
	}
	if now.Before(j.next.Add(time.Minute + gracePeriod)) {
		return nil
	}
	values, err := j.deps.Store.List(ctx, claim.MinutePrefix(j.next))
	if err != nil {
		return fmt.Errorf("list claims: %w", err)
	}
	for _, v := range values {
		if err := j.deps.Store.Delete(ctx, v.Key, v.Revision); err != nil {
			return fmt.Errorf("delete claim: %w", err)
		}
		deletedTotal.Inc()
		time.Sleep(deleteDelay)
	}
	j.next = j.next.Add(time.Minute)
	return nil
}
