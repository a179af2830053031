// Package capacity measures how the resource usage of a router grows with the size of
// the fleet. docs/CAPACITY.md extrapolates from it to the size that the users require.
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
	settleDelay     = 4 * time.Second // from the start of the streams to the observation
	observationTime = 10 * time.Second
)

// usage is the mean usage of one router and the load of the store.
type usage struct {
	CPU     float64 // % of a core
	Memory  float64 // MB
	Bytes   float64 // a second, read and written
	Reads   float64 // of the store, a second, by all routers
	Writes  float64 // of the store, a second, by all routers
	Watches float64 // of the store, started a second, by all routers
}

var measures = []struct {
	name string
	of   func(usage) float64
}{
	{"CPU %", func(u usage) float64 { return u.CPU }},
	{"memory MB", func(u usage) float64 { return u.Memory }},
	{"bytes/s", func(u usage) float64 { return u.Bytes }},
	{"store reads/s, all", func(u usage) float64 { return u.Reads }},
	{"store writes/s, all", func(u usage) float64 { return u.Writes }},
	{"store watches/s, all", func(u usage) float64 { return u.Watches }},
}

// fleetSize is the size of a fleet and its load.
type fleetSize struct {
	routers, engines, organisations, streams int
}

// axis is what grows while the rest stays.
type axis struct {
	name  string
	sizes []fleetSize
	value func(fleetSize) float64
}

var axes = []axis{
	{"routers", []fleetSize{{2, 8, 10, 0}, {8, 8, 10, 0}, {16, 8, 10, 0}, {32, 8, 10, 0}}, func(s fleetSize) float64 { return float64(s.routers) }},
	{"engines", []fleetSize{{4, 4, 10, 0}, {4, 20, 10, 0}, {4, 60, 10, 0}, {4, 120, 10, 0}}, func(s fleetSize) float64 { return float64(s.engines) }},
	{"organisations", []fleetSize{{4, 8, 10, 0}, {4, 8, 2000, 0}, {4, 8, 8000, 0}, {4, 8, 22000, 0}}, func(s fleetSize) float64 { return float64(s.organisations) }},
	{"streams", []fleetSize{{4, 20, 10, 0}, {4, 20, 10, 80}, {4, 20, 10, 160}, {4, 20, 10, 300}}, func(s fleetSize) float64 { return float64(s.streams) }},
}

// Run measures the axes whose name contains only, with the programs in directory bin. It
// prints a table of the measured points and one of the fitted slopes.
func Run(ctx context.Context, bin, only string) error {
	w := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	defer w.Flush()
	fmt.Fprintln(w, "AXIS\tAT\tCPU %\tMEMORY MB\tBYTES/S\tSTORE READS/S\tWRITES/S\tWATCHES/S\tCHANGE IN EFFECT MS\tCHANGE BYTES")
	var slopes strings.Builder
	for _, axis := range axes {
		if !strings.Contains(axis.name, only) {
			continue
		}
		var x []float64
		var usages []usage
		for _, s := range axis.sizes {
			used, cost, err := measureSize(ctx, bin, s)
			if err != nil {
				return fmt.Errorf("%s at %v: %w", axis.name, axis.value(s), err)
			}
			fmt.Fprintf(w, "%s\t%g\t%.3f\t%.1f\t%.0f\t%.2f\t%.2f\t%.2f\t%d\t%.0f\n", axis.name, axis.value(s), used.CPU, used.Memory, used.Bytes, used.Reads, used.Writes, used.Watches, cost.duration.Milliseconds(), cost.bytesPerRouter)
			_ = w.Flush()
			x, usages = append(x, axis.value(s)), append(usages, used)
		}
		for _, m := range measures {
			y := make([]float64, len(usages))
			for i := range usages {
				y[i] = m.of(usages[i])
			}
			fitted := fitLine(x, y)
			fmt.Fprintf(&slopes, "%s\t%s\t%.4g\t%.4g\t+- %.2g\n", axis.name, m.name, fitted.Intercept, fitted.Slope, fitted.SlopeError)
		}
	}
	fmt.Fprintln(w, "\nAXIS\tMEASURE\tAT ZERO\tSLOPE\tERROR")
	fmt.Fprint(w, slopes.String())
	return nil
}

// changeCost is the cost of a change of one organisation.
type changeCost struct {
	duration       time.Duration // until in effect on all routers
	bytesPerRouter float64       // read and written
}

// measureSize starts a fleet of a size and measures its usage and the cost of a
// change.
func measureSize(ctx context.Context, bin string, s fleetSize) (usage, changeCost, error) {
	dir, err := os.MkdirTemp("", "wisteriafield-capacity-")
	if err != nil {
		return usage{}, changeCost{}, fmt.Errorf("create directory: %w", err)
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
		return usage{}, changeCost{}, fmt.Errorf("start fleet: %w", err)
	}
	if err := f.Configure(ctx, func(string) {}); err != nil {
		return usage{}, changeCost{}, fmt.Errorf("configure: %w", err)
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	keepStreams(ctx, f, s.streams)
	time.Sleep(settleDelay)
	used := measureUsage(f, observationTime)
	cost, err := measureChange(ctx, f, s)
	return used, cost, err
}

// keepStreams keeps streams running until ctx ends.
func keepStreams(ctx context.Context, f *fleet.Fleet, n int) {
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

// measureUsage measures the usage during an interval.
func measureUsage(f *fleet.Fleet, interval time.Duration) usage {
	before, storeBefore := totalUsage(f), f.StoreCounts()
	time.Sleep(interval)
	after, storeAfter := totalUsage(f), f.StoreCounts()
	n, seconds := float64(len(f.Routers)), interval.Seconds()
	return usage{
		CPU:     100 * (after.CPU - before.CPU) / seconds / n,
		Memory:  after.Memory / n,
		Bytes:   (after.Bytes - before.Bytes) / seconds / n,
		Reads:   float64(storeAfter.Reads-storeBefore.Reads) / seconds,
		Writes:  float64(storeAfter.Writes-storeBefore.Writes) / seconds,
		Watches: float64(storeAfter.Watches-storeBefore.Watches) / seconds,
	}
}

// totalUsage returns the sum of what all routers have used so far.
func totalUsage(f *fleet.Fleet) procfs.Usage {
	var sum procfs.Usage
	for _, r := range f.Routers {
		u := procfs.ReadUsage(r.PID())
		sum.CPU += u.CPU
		sum.Memory += u.Memory
		sum.Bytes += u.Bytes
	}
	return sum
}

// measureChange changes one organisation and waits until the change is in effect.
func measureChange(ctx context.Context, f *fleet.Fleet, s fleetSize) (changeCost, error) {
	f.ExtraSections = organisations(s.organisations, 1)
	path, err := f.WriteDocument()
	if err != nil {
		return changeCost{}, err
	}
	if out, err := f.RunCommand(ctx, "apply", "--settings", f.OperatorSettings(), "--wait", "20s", path); err != nil {
		return changeCost{}, fmt.Errorf("apply: %s: %w", out, err)
	}
	before := totalUsage(f)
	startedAt := time.Now()
	if out, err := f.RunCommand(ctx, "promote", "--settings", f.OperatorSettings(), "--wait", "20s"); err != nil {
		return changeCost{}, fmt.Errorf("promote: %s: %w", out, err)
	}
	duration := time.Since(startedAt)
	return changeCost{duration: duration, bytesPerRouter: (totalUsage(f).Bytes - before.Bytes) / float64(len(f.Routers))}, nil
}

// organisations returns the document's sections of n organisations. The first one has
// extraWeight on top of the weight of the others.
func organisations(n, extraWeight int) string {
	var b strings.Builder
	for i := range n {
		weight := 1
		if i == 0 {
			weight += extraWeight
		}
		fmt.Fprintf(&b, "\n[Organisation org-%05d]\nKeys = %064x\nWeight = %d\n", i, i+1, weight)
	}
	return b.String()
}
