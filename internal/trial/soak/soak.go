// Package soak breaks a fleet at random for long, one or two faults at a time,
// and checks after each request what must hold. The faults and their times come
// from a seed; what the operating system makes of them does not.
package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"sync"
	"time"

	"github.com/pkg/errors"

	"wisteriafield/internal/trial/caller"
	"wisteriafield/internal/trial/crowd"
	"wisteriafield/internal/trial/fleet"
)

const (
	draftCallers   = 10
	bookingCallers = 4
	settleTime     = 20 * time.Second // for the last requests after the last fault
)

// Options are the flags of a run.
type Options struct {
	Seed     uint64        `long:"seed" default:"1" description:"of the faults"`
	Duration time.Duration `long:"last" default:"1m" description:"how long"`
	Verbose  bool          `long:"faults" description:"print each fault"`
}

var errBroken = errors.New("a check of the soak failed")

type soak struct {
	Options
	fleet  *fleet.Fleet
	caller *caller.Caller

	mu       sync.Mutex
	counts   map[string]int
	problems []string
	bookings map[string][]caller.Reply
}

// Run runs until the time is over and reports what happened.
func Run(ctx context.Context, bin string, opts Options) error {
	dir, err := os.MkdirTemp("", "wisteriafield-soak-")
	if err != nil {
		return fmt.Errorf("make folder: %w", err)
	}
	f := fleet.New(bin, dir)
	f.Engines = append(f.Engines,
		fleet.Engine{Name: "redattore-sr-1", Domain: "palermo", Slots: 8, Speed: 80},
		fleet.Engine{Name: "redattore-sr-2", Domain: "messina", Slots: 8, Speed: 70, Fencing: true})
	defer f.Stop()
	if err := f.Start(4); err != nil {
		return fmt.Errorf("start fleet: %w", err)
	}
	if err := f.Configure(ctx, func(string) {}); err != nil {
		return fmt.Errorf("configure: %w", err)
	}
	s := &soak{Options: opts, fleet: f, caller: caller.New(), counts: make(map[string]int), bookings: make(map[string][]caller.Reply)}
	s.run(ctx)
	return s.report(dir)
}

func (s *soak) run(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, s.Duration+settleTime+time.Minute)
	defer cancel()
	until := time.Now().Add(s.Duration)
	all := crowd.New(s.Seed, until)
	for i := range draftCallers {
		all.Start(ctx, s.draft, uint64(100+i))
	}
	for i := range bookingCallers {
		all.Start(ctx, s.book, uint64(200+i))
	}
	all.Start(ctx, s.operate, 300)
	all.Start(ctx, s.watchRevisions(), 301)
	r := rand.New(rand.NewPCG(s.Seed, 1))
	for time.Now().Before(until) && ctx.Err() == nil {
		s.hurt(ctx, r)
	}
	all.Wait()
}

func (s *soak) count(what string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counts[what]++
}

func (s *soak) problem(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.problems = append(s.problems, fmt.Sprintf(format, args...))
}

// report checks what can be checked only at the end, and prints all counts.
func (s *soak) report(dir string) error {
	s.checkBookings()
	s.checkInvariants()
	fmt.Printf("seed %d, %s\n", s.Seed, s.Duration)
	for _, what := range sortedKeys(s.counts) {
		fmt.Printf("  %6d %s\n", s.counts[what], what)
	}
	if len(s.problems) == 0 {
		fmt.Println("all held")
		return os.RemoveAll(dir)
	}
	for _, p := range s.problems {
		fmt.Println("BROKEN: " + p)
	}
	fmt.Printf("logs are in %s; again with: make soak SEED=%d MINUTES=%.0f\n", dir, s.Seed, s.Duration.Minutes())
	return errBroken
}
