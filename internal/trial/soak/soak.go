// Package soak is a soak test: it injects random faults into a fleet, one or two at a
// time, and checks every answer. The faults and their times follow from a seed; how the
// operating system schedules the processes does not.
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
	"wisteriafield/internal/trial/fleet"
	"wisteriafield/internal/trial/workers"
)

const (
	draftCallers   = 10
	bookingCallers = 4
	settleTimeout  = 20 * time.Second // for the requests that are active after the last fault
)

// Options are the flags of a soak.
type Options struct {
	Seed     uint64        `long:"seed" default:"1" description:"seed of the faults"`
	Duration time.Duration `long:"last" default:"1m" description:"duration of the faults"`
	Verbose  bool          `long:"faults" description:"print each fault"`
}

var errCheckFailed = errors.New("a check of the soak failed")

type soak struct {
	Options
	fleet  *fleet.Fleet
	caller *caller.Caller

	mu       sync.Mutex
	counts   map[string]int
	problems []string
	bookings map[string][]caller.Reply
}

// Run runs a soak with the programs in directory bin, prints its counts and problems and
// returns an error if there were problems.
func Run(ctx context.Context, bin string, opts Options) error {
	dir, err := os.MkdirTemp("", "wisteriafield-soak-")
	if err != nil {
		return fmt.Errorf("create directory: %w", err)
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
	s.runAll(ctx)
	return s.printReport(dir)
}

func (s *soak) runAll(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, s.Duration+settleTimeout+time.Minute)
	defer cancel()
	deadline := time.Now().Add(s.Duration)
	group := workers.New(s.Seed, deadline)
	for i := range draftCallers {
		group.Start(ctx, s.draft, uint64(100+i))
	}
	for i := range bookingCallers {
		group.Start(ctx, s.book, uint64(200+i))
	}
	group.Start(ctx, s.raceOperators, 300)
	group.Start(ctx, s.revisionChecker(), 301)
	r := rand.New(rand.NewPCG(s.Seed, 1))
	for time.Now().Before(deadline) && ctx.Err() == nil {
		s.injectFaults(ctx, r)
	}
	group.Wait()
}

func (s *soak) count(what string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counts[what]++
}

func (s *soak) reportProblem(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.problems = append(s.problems, fmt.Sprintf(format, args...))
}

// printReport makes the checks of the end and prints all counts and problems.
func (s *soak) printReport(dir string) error {
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
	return errCheckFailed
}
