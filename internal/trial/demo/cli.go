// Package demo shows on a fleet of processes that an answer survives the death
// of its engine and of its router, and that a booking runs once.
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

// options are the flags of all commands.
type options struct {
	Bin string `long:"bin" default:"bin" description:"folder of the programs"`
}

// Run runs a command and returns the exit code.
func Run(args []string) int {
	var opts options
	parser := flags.NewNamedParser("fleet", flags.HelpFlag)
	if _, err := parser.AddGroup("Options", "", &opts); err != nil {
		panic(err)
	}
	for name, run := range map[string]func(context.Context, *fleet.Fleet) error{"demo": runDemo, "up": runUp} {
		if _, err := parser.AddCommand(name, name, name, &command{opts: &opts, run: run}); err != nil {
			panic(err)
		}
	}
	if _, err := parser.AddCommand("bench", "bench", "Measures the system.", &benchCommand{opts: &opts}); err != nil {
		panic(err)
	}
	if _, err := parser.AddCommand("soak", "soak", "Breaks the system at random and checks what must hold.", &soakCommand{opts: &opts}); err != nil {
		panic(err)
	}
	if _, err := parser.AddCommand("edge-soak", "edge-soak", "The same for the program on the users' platform.", &edgeSoakCommand{opts: &opts}); err != nil {
		panic(err)
	}
	if _, err := parser.AddCommand("capacity", "capacity", "Measures how a router's cost grows.", &capacityCommand{opts: &opts}); err != nil {
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

// Execute measures.
func (c *benchCommand) Execute([]string) error {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	bin, err := filepath.Abs(c.opts.Bin)
	if err != nil {
		return fmt.Errorf("find programs: %w", err)
	}
	return bench.Run(ctx, bin, c.Options)
}

type soakCommand struct {
	soak.Options
	opts *options
}

// Execute runs a long random test.
func (c *soakCommand) Execute([]string) error {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	bin, err := filepath.Abs(c.opts.Bin)
	if err != nil {
		return fmt.Errorf("find programs: %w", err)
	}
	return soak.Run(ctx, bin, c.Options)
}

type edgeSoakCommand struct {
	edgesoak.Options
	opts *options
}

// Execute runs a long random test.
func (c *edgeSoakCommand) Execute([]string) error {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	bin, err := filepath.Abs(c.opts.Bin)
	if err != nil {
		return fmt.Errorf("find programs: %w", err)
	}
	return edgesoak.Run(ctx, bin, c.Options)
}

type capacityCommand struct {
	Only string `long:"only" description:"measure only axes whose name holds this"`
	opts *options
}

// Execute measures.
func (c *capacityCommand) Execute([]string) error {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	bin, err := filepath.Abs(c.opts.Bin)
	if err != nil {
		return fmt.Errorf("find programs: %w", err)
	}
	return capacity.Run(ctx, bin, c.Only)
}

type command struct {
	opts *options
	run  func(context.Context, *fleet.Fleet) error
}

// Execute starts a fleet, runs the command on it and ends the fleet.
func (c *command) Execute([]string) error {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	dir, err := os.MkdirTemp("", "wisteriafield-")
	if err != nil {
		return fmt.Errorf("make folder: %w", err)
	}
	bin, err := filepath.Abs(c.opts.Bin)
	if err != nil {
		return fmt.Errorf("find programs: %w", err)
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

func say(s string) { fmt.Println(s) }
