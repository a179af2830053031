// Package workers runs steps of random tests beside each other, each with random numbers
// of its own that follow from the seed.
package workers

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"
)

// Step is done again and again.
type Step func(ctx context.Context, r *rand.Rand)

// Group repeats steps until a time.
type Group struct {
	seed  uint64
	until time.Time
	wg    sync.WaitGroup
}

// New returns a crowd without steps.
func New(seed uint64, until time.Time) *Group { return &Group{seed: seed, until: until} }

// Start repeats a step. The stream tells its random numbers from those of others.
func (c *Group) Start(ctx context.Context, step Step, stream uint64) {
	c.wg.Go(func() {
		r := rand.New(rand.NewPCG(c.seed, stream))
		for time.Now().Before(c.until) && ctx.Err() == nil {
			step(ctx, r)
		}
	})
}

// Wait returns when all steps have ended.
func (c *Group) Wait() { c.wg.Wait() }
