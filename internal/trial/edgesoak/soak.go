// Package edgesoak breaks a fleet of the program that runs on the users' platform at
// random, from outside: signals to its processes, loopback proxies before its links,
// faults of the stand-in store. It checks what callers and backend servers see. Faults
// and their times come from a seed; what the operating system makes of them does not.
package edgesoak

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"sort"
	"sync"
	"time"

	"github.com/pkg/errors"

	"wisteriafield/internal/trial/workers"
)

const (
	// healed is how long after the last fault everything has to be served again:
	// recoverS of the users' sites.
	healed = 12 * time.Second
	// disturbed is how long after a fault its effects may last: contactMs of the
	// users' sites.
	disturbed    = 3 * time.Second
	draftCallers = 10
	plainCallers = 6
)

// quick asks a process for its state.
var quick = &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}

// Options are the flags of a run.
type Options struct {
	Seed     uint64        `long:"seed" default:"1" description:"of the faults"`
	Duration time.Duration `long:"last" default:"30s" description:"how long"`
	Routers  int           `long:"routers" default:"4" description:"processes of the product"`
	Engines  int           `long:"engines" default:"6" description:"stand-ins for engines"`
	Services int           `long:"desks" default:"2" description:"stand-ins for a plain service"`
	Verbose  bool          `long:"faults" description:"print each fault"`
}

// ErrCheckFailed means that the run broke a rule that the soak checks.
var ErrCheckFailed = errors.New("a check of the soak failed")

type soak struct {
	Options
	*world

	mu       sync.Mutex
	counts   map[string]int
	problems []string
	bookings map[string][]int // statuses told, by attempt; 0 for none
	calm     time.Time        // until when the last fault may show
	faults   int              // that are not healed
	stopped  map[string]time.Time
	began    time.Time
}

// Run runs until the time is over and reports what happened.
func Run(ctx context.Context, bin string, opts Options) error {
	dir, err := os.MkdirTemp("", "wisteriafield-edge-soak-")
	if err != nil {
		return fmt.Errorf("make folder: %w", err)
	}
	w, err := newWorld(bin, dir, opts)
	if w != nil {
		defer w.stop()
	}
	if err != nil {
		return fmt.Errorf("start fleet, logs are in %s: %w", dir, err)
	}
	s := &soak{Options: opts, world: w, counts: make(map[string]int), bookings: make(map[string][]int), stopped: make(map[string]time.Time), began: time.Now()}
	s.run(ctx)
	return s.report(dir)
}

func (s *soak) run(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, s.Duration+healed+time.Minute)
	defer cancel()
	all := workers.New(s.Seed, time.Now().Add(s.Duration))
	for i := range draftCallers {
		all.Start(ctx, s.draft, uint64(100+i))
	}
	for i := range plainCallers {
		all.Start(ctx, s.plainCaller(), uint64(200+i))
	}
	all.Start(ctx, s.operate, 300)
	all.Start(ctx, s.watchVersions(), 301)
	// Two series of faults overlap.
	all.Start(ctx, s.hurt, 1)
	all.Start(ctx, s.hurt, 2)
	all.Wait()
	s.checkRecovery(ctx)
}

func (s *soak) count(what string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counts[what]++
}

func (s *soak) problem(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.problems = append(s.problems, time.Now().Format("15:04:05.000 ")+fmt.Sprintf(format, args...))
}

// undisturbedSince returns since when there was no fault, or false if there is one.
func (s *soak) undisturbedSince() (time.Time, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calm, s.faults == 0 && time.Now().After(s.calm)
}

// report checks what can be checked only at the end, and prints all counts.
func (s *soak) report(dir string) error {
	s.checkRuns()
	s.checkLogs()
	fmt.Printf("seed %d, %s, %d routers, %d engines, %d desks\n", s.Seed, s.Duration, s.Routers, s.Engines, s.Services)
	var names []string
	for what := range s.counts {
		names = append(names, what)
	}
	sort.Strings(names)
	for _, what := range names {
		fmt.Printf("  %6d %s\n", s.counts[what], what)
	}
	if len(s.problems) == 0 {
		fmt.Println("all held")
		return os.RemoveAll(dir)
	}
	for _, p := range s.problems {
		fmt.Println("BROKEN: " + p)
	}
	fmt.Printf("logs are in %s; again with: make edge-soak SEED=%d LAST=%s\n", dir, s.Seed, s.Duration)
	return ErrCheckFailed
}
