// Package workers repeats the steps of randomized tests concurrently. Each step draws from
// its own random number generator, which follows from the seed of the test.
package workers

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"
)

// Step is one iteration of a worker.
type Step func(ctx context.Context, r *rand.Rand)

// Group repeats steps concurrently until a deadline.
type Group struct {
	seed     uint64
	deadline time.Time
	wg       sync.WaitGroup
}

// New returns a group without steps.
func New(seed uint64, deadline time.Time) *Group { return &Group{seed: seed, deadline: deadline} }

// Start repeats a step in a new goroutine until the deadline or the end of ctx. Steps with
// different streams get different random numbers.
func (g *Group) Start(ctx context.Context, step Step, stream uint64) {
	g.wg.Go(func() {
		r := rand.New(rand.NewPCG(g.seed, stream))
		for time.Now().Before(g.deadline) && ctx.Err() == nil {
			step(ctx, r)
		}
	})
}

// Wait returns when all steps have ended.
func (g *Group) Wait() { g.wg.Wait() }
