// Package capacity measures how the cost of a router grows with the size of the
// fleet, so that docs/CAPACITY.md can work out the size in the letter.
package capacity

import (
	"context"
	"fmt"
	"os"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/google/uuid"

	"wisteriafield/internal/trial/caller"
	"wisteriafield/internal/trial/fleet"
	"wisteriafield/internal/trial/procfs"
)

const (
	settle  = 4 * time.Second
	observe = 10 * time.Second
)

// figures is what one router uses, on the mean.
type figures struct {
	CPU    float64 // % of a core
	Memory float64 // MB
	Bytes  float64 // a second, read and written
	Reads  float64 // of the store, a second, all routers
	Writes float64
	Waits  float64 // watches
}

var measures = []struct {
	name string
	of   func(figures) float64
}{
	{"CPU %", func(f figures) float64 { return f.CPU }},
	{"memory MB", func(f figures) float64 { return f.Memory }},
	{"bytes/s", func(f figures) float64 { return f.Bytes }},
	{"store reads/s, all", func(f figures) float64 { return f.Reads }},
	{"store writes/s, all", func(f figures) float64 { return f.Writes }},
	{"store watches/s, all", func(f figures) float64 { return f.Waits }},
}

// size is one size of a fleet.
type size struct {
	routers, engines, organisations, streams int
}

// axis is what grows while the rest stays.
type axis struct {
	name  string
	sizes []size
	x     func(size) float64
}

var axes = []axis{
	{"routers", []size{{2, 8, 10, 0}, {8, 8, 10, 0}, {16, 8, 10, 0}, {32, 8, 10, 0}}, func(s size) float64 { return float64(s.routers) }},
	{"engines", []size{{4, 4, 10, 0}, {4, 20, 10, 0}, {4, 60, 10, 0}, {4, 120, 10, 0}}, func(s size) float64 { return float64(s.engines) }},
	{"organisations", []size{{4, 8, 10, 0}, {4, 8, 2000, 0}, {4, 8, 8000, 0}, {4, 8, 22000, 0}}, func(s size) float64 { return float64(s.organisations) }},
	{"streams", []size{{4, 20, 10, 0}, {4, 20, 10, 80}, {4, 20, 10, 160}, {4, 20, 10, 300}}, func(s size) float64 { return float64(s.streams) }},
}

// Run measures the axes whose name holds only, and prints a table of points and
// one of slopes.
func Run(ctx context.Context, bin, only string) error {
	w := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	defer w.Flush()
	fmt.Fprintln(w, "AXIS\tAT\tCPU %\tMEMORY MB\tBYTES/S\tSTORE READS/S\tWRITES/S\tWATCHES/S\tCHANGE IN FORCE MS\tCHANGE BYTES")
	var slopes strings.Builder
	for _, a := range axes {
		if !strings.Contains(a.name, only) {
			continue
		}
		var x []float64
		var all []figures
		for _, s := range a.sizes {
			f, changed, err := run(ctx, bin, s)
			if err != nil {
				return fmt.Errorf("%s at %v: %w", a.name, a.x(s), err)
			}
			fmt.Fprintf(w, "%s\t%g\t%.3f\t%.1f\t%.0f\t%.2f\t%.2f\t%.2f\t%d\t%.0f\n", a.name, a.x(s), f.CPU, f.Memory, f.Bytes, f.Reads, f.Writes, f.Waits, changed.took.Milliseconds(), changed.bytes)
			_ = w.Flush()
			x, all = append(x, a.x(s)), append(all, f)
		}
		for _, m := range measures {
			y := make([]float64, len(all))
			for i := range all {
				y[i] = m.of(all[i])
			}
			l := fit(x, y)
			fmt.Fprintf(&slopes, "%s\t%s\t%.4g\t%.4g\t+- %.2g\n", a.name, m.name, l.Intercept, l.Slope, l.Error)
		}
	}
	fmt.Fprintln(w, "\nAXIS\tMEASURE\tAT ZERO\tSLOPE\tERROR")
	fmt.Fprint(w, slopes.String())
	return nil
}

// change is what one changed organisation costs.
type change struct {
	took  time.Duration // until in force on all routers
	bytes float64       // a router
}

func run(ctx context.Context, bin string, s size) (figures, change, error) {
	dir, err := os.MkdirTemp("", "wisteriafield-capacity-")
	if err != nil {
		return figures{}, change{}, fmt.Errorf("make folder: %w", err)
	}
	defer os.RemoveAll(dir)
	f := fleet.New(bin, dir)
	f.Engines = nil
	for i := range s.engines {
		f.Engines = append(f.Engines, fleet.Engine{Name: fmt.Sprintf("engine-%03d", i), Domain: "catania", Slots: 16, Speed: 37})
	}
	f.ExtraSections = organisations(s.organisations, 0)
	defer f.Stop()
	if err := f.Start(s.routers); err != nil {
		return figures{}, change{}, fmt.Errorf("start: %w", err)
	}
	if err := f.Configure(ctx, func(string) {}); err != nil {
		return figures{}, change{}, fmt.Errorf("configure: %w", err)
	}
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	stream(ctx, f, s.streams)
	time.Sleep(settle)
	watched := watch(f, observe)
	changed, err := measureChange(ctx, f, s)
	return watched, changed, err
}

// stream keeps streams running until ctx ends.
func stream(ctx context.Context, f *fleet.Fleet, n int) {
	c := caller.New()
	for i := range n {
		go func() {
			for ctx.Err() == nil {
				req := caller.Request{Key: fleet.KeyScordia, IdempotencyKey: uuid.NewString(), Model: "redattore", MaxTokens: 4000, Prompt: "capacity"}
				_, _ = c.Stream(ctx, []string{f.CallerAddresses()[i%len(f.Routers)]}, req, nil)
				time.Sleep(100 * time.Millisecond)
			}
		}()
	}
}

func watch(f *fleet.Fleet, d time.Duration) figures {
	before, stored := use(f), f.StoreCounts()
	time.Sleep(d)
	after, storedAfter := use(f), f.StoreCounts()
	n, seconds := float64(len(f.Routers)), d.Seconds()
	return figures{
		CPU:    100 * (after.CPU - before.CPU) / seconds / n,
		Memory: after.Memory / n,
		Bytes:  (after.Bytes - before.Bytes) / seconds / n,
		Reads:  float64(storedAfter.Reads-stored.Reads) / seconds,
		Writes: float64(storedAfter.Writes-stored.Writes) / seconds,
		Waits:  float64(storedAfter.Watches-stored.Watches) / seconds,
	}
}

func use(f *fleet.Fleet) procfs.Usage {
	var sum procfs.Usage
	for _, r := range f.Routers {
		u := procfs.ReadUsage(r.PID())
		sum.CPU += u.CPU
		sum.Memory += u.Memory
		sum.Bytes += u.Bytes
	}
	return sum
}

// measureChange changes one organisation and waits until it is in force.
func measureChange(ctx context.Context, f *fleet.Fleet, s size) (change, error) {
	f.ExtraSections = organisations(s.organisations, 1)
	path, err := f.WriteDocument()
	if err != nil {
		return change{}, err
	}
	if out, err := f.RunCommand(ctx, "apply", "--settings", f.OperatorSettings(), "--wait", "20s", path); err != nil {
		return change{}, fmt.Errorf("apply: %s: %w", out, err)
	}
	before := use(f)
	begin := time.Now()
	if out, err := f.RunCommand(ctx, "promote", "--settings", f.OperatorSettings(), "--wait", "20s"); err != nil {
		return change{}, fmt.Errorf("promote: %s: %w", out, err)
	}
	took := time.Since(begin)
	return change{took: took, bytes: (use(f).Bytes - before.Bytes) / float64(len(f.Routers))}, nil
}

// organisations returns n sections; the weight of the first one can differ.
func organisations(n, changed int) string {
	var b strings.Builder
	for i := range n {
		weight := 1
		if i == 0 {
			weight += changed
		}
		fmt.Fprintf(&b, "\n[Organisation org-%05d]\nKeys = %064x\nWeight = %d\n", i, i+1, weight)
	}
	return b.String()
}
