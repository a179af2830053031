package bench

import (
	"context"
	"fmt"
	"os"
	"strings"
	"time"

	"wisteriafield/internal/trial/fleet"
)

// Options are the flags of a run.
type Options struct {
	Repeats int    `long:"repeats" default:"3" description:"runs of each case"`
	Out     string `long:"out" default:"out/bench" description:"folder for raw figures and plots"`
	Only    string `long:"only" description:"run only measures whose name holds this"`
	Policy  string `long:"policy" description:"run only the policy of this name"`
}

type bench struct {
	Options
	bin string
}

// Run runs all measures.
func Run(ctx context.Context, bin string, opts Options) error {
	b := &bench{Options: opts, bin: bin}
	if err := os.MkdirAll(b.Out, 0o755); err != nil {
		return fmt.Errorf("make folder: %w", err)
	}
	if err := b.measureResume(ctx); err != nil {
		return err
	}
	if b.wants("cost") {
		if err := b.measureCost(ctx); err != nil {
			return err
		}
	}
	return b.comparePolicies(ctx)
}

func (b *bench) wants(name string) bool { return strings.Contains(name, b.Only) }

// fleet starts a fleet with a policy in force.
func (b *bench) fleet(ctx context.Context, routers int, engines []fleet.Engine, policy string) (*fleet.Fleet, error) {
	dir, err := os.MkdirTemp("", "wisteriafield-bench-")
	if err != nil {
		return nil, fmt.Errorf("make folder: %w", err)
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
