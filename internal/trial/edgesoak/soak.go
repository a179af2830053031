// Package edgesoak is a soak test of the program that runs on the users' platform. It
// injects random faults into a fleet from outside: signals to its processes, loopback
// proxies before its links, faults of the stand-in store. It checks what callers and
// backend servers see. The faults and their times follow from a seed; how the operating
// system schedules the processes does not.
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
	// recoveryTimeout is how soon after the last fault all requests have to be served
	// again: recoverS of the users' sites.
	recoveryTimeout = 12 * time.Second
	// disturbanceTimeout is how long the effects of a fault may last after its end:
	// contactMs of the users' sites.
	disturbanceTimeout = 3 * time.Second
	draftCallers       = 10
	// More callers meet planned faults, which cut few answers.
	plannedDraftCallers   = 25
	plannedServiceCallers = 16
	serviceCallers        = 6
)

// probeClient queries processes, without keep-alive connections.
var probeClient = &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}

// Options are the flags of a soak.
type Options struct {
	Seed     uint64        `long:"seed" default:"1" description:"seed of the faults"`
	Duration time.Duration `long:"last" default:"30s" description:"duration of the faults"`
	Routers  int           `long:"routers" default:"4" description:"number of routers"`
	Engines  int           `long:"engines" default:"6" description:"number of stand-in engines"`
	Services int           `long:"desks" default:"3" description:"number of stand-in servers of the service"`
	Deadly   int           `long:"deadly" default:"1" description:"number of deadly requests of each kind"`
	Leaving  bool          `long:"leaving" description:"callers of deadly requests leave before the crash"`
	Others   int           `long:"others" default:"2" description:"number of stand-in servers of each other service, to which routes move; 0 for no moves"`
	Planned  bool          `long:"planned" description:"planned faults only, several at once"`
	Scarce   bool          `long:"scarce" description:"routers have as few retries as those of a large fleet"`
	Storms   bool          `long:"storms" description:"storms of changes beside faults of many routers, no other faults"`
	Verbose  bool          `long:"faults" description:"print each fault"`
}

// ErrCheckFailed means that a check of the soak failed.
var ErrCheckFailed = errors.New("a check of the soak failed")

type soak struct {
	Options
	*harness

	mu             sync.Mutex
	counts         map[string]int
	problems       []string
	bookings       map[string][]int // statuses that callers got, by attempt ID; 0 for no answer
	disturbedUntil time.Time        // until when the last fault may have effects
	activeFaults   int              // unplanned ones that have not ended
	stoppedAt      map[string]time.Time
	stops          map[string][]time.Time
	incomplete     []*exchange
	healing        sync.WaitGroup // planned faults that end in the background
	startedAt      time.Time
	deadly         deadlyLog
}

// Run runs a soak with the programs in directory bin, prints its counts and problems and
// returns ErrCheckFailed if there were problems.
func Run(ctx context.Context, bin string, opts Options) error {
	dir, err := os.MkdirTemp("", "wisteriafield-edge-soak-")
	if err != nil {
		return fmt.Errorf("create directory: %w", err)
	}
	h, err := newHarness(bin, dir, opts)
	if h != nil {
		defer h.stopAll()
	}
	if err != nil {
		return fmt.Errorf("start fleet, logs are in %s: %w", dir, err)
	}
	s := &soak{Options: opts, harness: h, counts: make(map[string]int), bookings: make(map[string][]int), stoppedAt: make(map[string]time.Time), stops: make(map[string][]time.Time), startedAt: time.Now()}
	s.runAll(ctx)
	return s.printReport(dir)
}

func (s *soak) runAll(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, s.Duration+recoveryTimeout+time.Minute)
	defer cancel()
	group := workers.New(s.Seed, time.Now().Add(s.Duration))
	for i := range choose(s.Planned, plannedDraftCallers, draftCallers) {
		group.Start(ctx, s.draft, uint64(100+i))
	}
	for i := range choose(s.Planned, plannedServiceCallers, serviceCallers) {
		group.Start(ctx, s.serviceCaller(), uint64(200+i))
	}
	group.Start(ctx, s.changeConfig, 300)
	group.Start(ctx, s.versionChecker(), 301)
	// Several series of faults run at once, so that faults overlap.
	switch {
	case s.Planned:
		for i := range plannedSeries {
			group.Start(ctx, s.injectPlanned, uint64(1+i))
		}
		for i, b := range s.backends {
			group.Start(ctx, s.fallSilent(b), uint64(1000+i))
		}
	case s.Storms:
		group.Start(ctx, s.injectStorm, 1)
	default:
		group.Start(ctx, s.injectFault, 1)
		group.Start(ctx, s.injectFault, 2)
	}
	if s.Deadly > 0 && !s.Planned {
		requests := s.newDeadlyRequests()
		for i := range deadlyCallers {
			group.Start(ctx, s.deadlyCaller(requests), uint64(400+i))
		}
		group.Start(ctx, s.checkRepeatedRequests, 302)
		group.Start(ctx, s.killMostRouters, 3)
	}
	group.Wait()
	s.healing.Wait()
	s.checkRecovery(ctx)
}

func (s *soak) count(what string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counts[what]++
}

func (s *soak) reportProblem(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.problems = append(s.problems, time.Now().Format("15:04:05.000 ")+fmt.Sprintf(format, args...))
}

// undisturbedSince returns since when no fault has had effects, and whether that is so
// now.
func (s *soak) undisturbedSince() (time.Time, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.disturbedUntil, s.activeFaults == 0 && time.Now().After(s.disturbedUntil)
}

// printReport makes the checks of the end and prints all counts and problems.
func (s *soak) printReport(dir string) error {
	s.checkExecutions()
	s.checkDeadly()
	s.checkLogs()
	fmt.Printf("seed %d, %s, %d routers, %d engines, %d desks, %d of each other service, %d deadly of each kind, planned only %t, scarce retries %t, storms %t\n", s.Seed, s.Duration, s.Routers, s.Engines, s.Services, s.Others, s.Deadly, s.Planned, s.Scarce, s.Storms)
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
	fmt.Printf("logs are in %s; again with: make build && bin/fleet edge-soak --seed %d --last %s --routers %d --engines %d --desks %d --others %d --deadly %d%s%s\n", dir, s.Seed, s.Duration, s.Routers, s.Engines, s.Services, s.Others, s.Deadly, choose(s.Planned, " --planned", "")+choose(s.Scarce, " --scarce", ""), choose(s.Storms, " --storms", "")+choose(s.Leaving, " --leaving", ""))
	return ErrCheckFailed
}
