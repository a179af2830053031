// Package janitor deletes claims that no key can ask for any more. It runs on
// the router that leads the order plan.
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
	listEvery  = 100 * time.Millisecond // between lists of a minute's claims
	callPause  = 10 * time.Millisecond  // between deletions
	lookBack   = 48 * time.Hour         // minutes that a new leader looks through
	afterwards = time.Minute            // a minute's claims are deleted so long after it
)

var deletedTotal = metrics.NewCounter("wisteriafield_claims_deleted_total")

// Store is the part of the platform's store that a janitor needs.
type Store interface {
	List(ctx context.Context, prefix string) ([]kv.Value, error)
	Delete(ctx context.Context, key string, revision int64) error
}

// Deps is what a janitor needs.
type Deps struct {
	Store    Store
	IsLeader func() bool
	Now      func() time.Time
	Log      *logrus.Entry
}

// Janitor deletes old claims minute by minute.
type Janitor struct {
	deps Deps
	next time.Time // the first minute that was not looked at; zero while not leading
}

// New returns a janitor.
func New(deps Deps) *Janitor { return &Janitor{deps: deps} }

// Run deletes until ctx ends.
func (j *Janitor) Run(ctx context.Context) error {
	loop.Every(ctx, listEvery, func(time.Time) {
		if err := j.Step(ctx); err != nil {
			j.deps.Log.Debugf("step: %v", err)
		}
	})
	return nil
}

// Step looks at one minute's claims, if this router leads and one is due.
func (j *Janitor) Step(ctx context.Context) error {
	if !j.deps.IsLeader() {
		j.next = time.Time{}
		return nil
	}
	now := j.deps.Now()
	if j.next.IsZero() {
		j.next = now.Add(-lookBack).Truncate(time.Minute)
	}
	if now.Before(j.next.Add(time.Minute + afterwards)) {
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
		time.Sleep(callPause)
	}
	j.next = j.next.Add(time.Minute)
	return nil
}
