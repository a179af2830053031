package bench

import (
	"context"
	"fmt"
	"os"
	"strings"
	"time"

	"wisteriafield/internal/trial/fleet"
)

// Options are the flags of the benchmark.
type Options struct {
	Repeats int    `long:"repeats" default:"3" description:"number of runs of each case"`
	Out     string `long:"out" default:"out/bench" description:"directory for raw values and plots"`
	Only    string `long:"only" description:"run only the benchmarks whose name contains this"`
	Policy  string `long:"policy" description:"run only the policy with this name"`
}

type bench struct {
	Options
	bin string
}

// Run runs the selected benchmarks with the programs in directory bin.
func Run(ctx context.Context, bin string, opts Options) error {
	b := &bench{Options: opts, bin: bin}
	if err := os.MkdirAll(b.Out, 0o755); err != nil {
		return fmt.Errorf("create directory: %w", err)
	}
	if err := b.measureResume(ctx); err != nil {
		return err
	}
	if b.selected("cost") {
		if err := b.measureCost(ctx); err != nil {
			return err
		}
	}
	return b.comparePolicies(ctx)
}

// selected reports whether flag --only selects a benchmark.
func (b *bench) selected(name string) bool { return strings.Contains(name, b.Only) }

// startFleet starts a fleet and waits until its policy is in effect.
func (b *bench) startFleet(ctx context.Context, routers int, engines []fleet.Engine, policy string) (*fleet.Fleet, error) {
	dir, err := os.MkdirTemp("", "wisteriafield-bench-")
	if err != nil {
		return nil, fmt.Errorf("create directory: %w", err)
	}
	fmt.Fprintf(os.Stderr, "%s %d routers, %d engines\n", time.Now().Format(time.TimeOnly), routers, len(engines))
	f := fleet.New(b.bin, dir)
	f.Engines = engines
	f.ExtraPolicy = policy
	if err := f.Start(routers); err != nil {
		f.Stop()
		return nil, fmt.Errorf("start fleet: %w", err)
	}
	if err := f.Configure(ctx, func(string) {}); err != nil {
		f.Stop()
		return nil, fmt.Errorf("configure: %w", err)
	}
	return f, nil
}

// finish prints a table and saves it with its plot, unless it is empty.
func (b *bench) finish(t *table, name string) error {
	if len(t.cases) == 0 {
		return nil
	}
	t.print(os.Stdout, name)
	file := strings.ReplaceAll(name, " ", "-")
	if err := t.save(b.Out, file); err != nil {
		return err
	}
	return t.plot(b.Out, file)
}
