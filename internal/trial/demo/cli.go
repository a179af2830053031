// Package demo is the command line of the fleet program. Its demo command shows with a
// fleet of processes that an answer survives the failure of its engine and of its router,
// and that a booking is executed once.
package demo

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"

	"github.com/jessevdk/go-flags"

	"wisteriafield/internal/trial/bench"
	"wisteriafield/internal/trial/capacity"
	"wisteriafield/internal/trial/edgesoak"
	"wisteriafield/internal/trial/fleet"
	"wisteriafield/internal/trial/soak"
)

// options holds the flags that all commands share.
type options struct {
	Bin string `long:"bin" default:"bin" description:"directory of the programs"`
}

// Run runs a command and returns the exit code.
func Run(args []string) int {
	var opts options
	parser := flags.NewNamedParser("fleet", flags.HelpFlag)
	if _, err := parser.AddGroup("Options", "", &opts); err != nil {
		panic(err)
	}
	for name, run := range map[string]func(context.Context, *fleet.Fleet) error{"demo": runDemo, "up": runUp} {
		if _, err := parser.AddCommand(name, name, name, &fleetCommand{opts: &opts, run: run}); err != nil {
			panic(err)
		}
	}
	if _, err := parser.AddCommand("bench", "bench", "Runs the benchmarks.", &benchCommand{opts: &opts}); err != nil {
		panic(err)
	}
	if _, err := parser.AddCommand("soak", "soak", "Injects random faults and checks the invariants.", &soakCommand{opts: &opts}); err != nil {
		panic(err)
	}
	if _, err := parser.AddCommand("edge-soak", "edge-soak", "Injects random faults into the program on the users' platform and checks the invariants.", &edgeSoakCommand{opts: &opts}); err != nil {
		panic(err)
	}
	if _, err := parser.AddCommand("capacity", "capacity", "Measures how the cost of a router grows with the size of the system.", &capacityCommand{opts: &opts}); err != nil {
		panic(err)
	}
	if _, err := parser.ParseArgs(args); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	return 0
}

type benchCommand struct {
	bench.Options
	opts *options
}

// Execute runs the benchmarks.
func (c *benchCommand) Execute([]string) error {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	bin, err := filepath.Abs(c.opts.Bin)
	if err != nil {
		return fmt.Errorf("resolve program directory: %w", err)
	}
	return bench.Run(ctx, bin, c.Options)
}

type soakCommand struct {
	soak.Options
	opts *options
}

// Execute runs the soak test.
func (c *soakCommand) Execute([]string) error {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	bin, err := filepath.Abs(c.opts.Bin)
	if err != nil {
		return fmt.Errorf("resolve program directory: %w", err)
	}
	return soak.Run(ctx, bin, c.Options)
}

type edgeSoakCommand struct {
	edgesoak.Options
	opts *options
}

// Execute runs the soak test of the program on the users' platform.
func (c *edgeSoakCommand) Execute([]string) error {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	bin, err := filepath.Abs(c.opts.Bin)
	if err != nil {
		return fmt.Errorf("resolve program directory: %w", err)
	}
	return edgesoak.Run(ctx, bin, c.Options)
}

type capacityCommand struct {
	Only string `long:"only" description:"measure only axes whose name contains this text"`
	opts *options
}

// Execute runs the capacity measurements.
func (c *capacityCommand) Execute([]string) error {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	bin, err := filepath.Abs(c.opts.Bin)
	if err != nil {
		return fmt.Errorf("resolve program directory: %w", err)
	}
	return capacity.Run(ctx, bin, c.Only)
}

// fleetCommand is a command that runs on a fleet of its own.
type fleetCommand struct {
	opts *options
	run  func(context.Context, *fleet.Fleet) error
}

// Execute starts a fleet, runs the command on it and stops the fleet. The settings and logs
// are kept if the command fails.
func (c *fleetCommand) Execute([]string) error {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	dir, err := os.MkdirTemp("", "wisteriafield-")
	if err != nil {
		return fmt.Errorf("create directory: %w", err)
	}
	bin, err := filepath.Abs(c.opts.Bin)
	if err != nil {
		return fmt.Errorf("resolve program directory: %w", err)
	}
	f := fleet.New(bin, dir)
	defer f.Stop()
	if err := f.Start(3); err != nil {
		return fmt.Errorf("start fleet: %w", err)
	}
	fmt.Printf("fleet is up; settings and logs are in %s\n", dir)
	if err := c.run(ctx, f); err != nil {
		fmt.Printf("FAILED: %v (logs are kept in %s)\n", err, dir)
		return err
	}
	return os.RemoveAll(dir)
}

func printLine(s string) { fmt.Println(s) }
