package bench

import (
	"context"
	"fmt"
	"time"

	"wisteriafield/internal/trial/fleet"
)

// policy is a way to place and order work.
type policy struct {
	name string
	text string // of the document's policy
}

var policies = []policy{
	{"entry and keeper", "Routing = TwoHop\nQueueing = ByClass"},
	{"entry and keeper, arrival order", "Routing = TwoHop\nQueueing = Arrival"},
	{"one hop, power of two", "Routing = PowerOfTwo"},
	{"one hop, weighted cost", "Routing = WeightedCost"},
}

// engines of differing speeds; their sum is the fleet's capacity.
func engines() []fleet.Engine {
	var all []fleet.Engine
	speeds := []float64{37, 52, 30, 74, 45}
	for i := range 20 {
		all = append(all, fleet.Engine{
			Name: fmt.Sprintf("engine-%02d", i+1), Domain: []string{"catania", "palermo", "messina"}[i%3],
			Slots: 4, Speed: speeds[i%len(speeds)],
		})
	}
	return all
}

// capacity returns the requests a second that the engines can serve when full.
func capacity(all []fleet.Engine) float64 {
	var tokens float64
	for _, e := range all {
		tokens += float64(e.Slots) * e.Speed / (1 + fleet.BatchOverhead)
	}
	return tokens / (longShare*longTokens + (1-longShare)*shortTokens)
}

// scenario is a load on a fleet, perhaps with a fault.
type scenario struct {
	name   string
	phases func(capacity float64) []phase
	fault  func(f *fleet.Fleet)
}

var scenarios = []scenario{
	{"crest", func(c float64) []phase {
		mean := 0.5 * c
		return []phase{{mean, 5 * time.Second}, {3 * mean, 20 * time.Second}, {mean, 10 * time.Second}}
	}, nil},
	{"short behind long", func(c float64) []phase {
		return []phase{{0.85 * c, 30 * time.Second}}
	}, nil},
	{"two of twenty slowed", func(c float64) []phase {
		return []phase{{0.7 * c, 30 * time.Second}}
	}, slowTwo},
}

// slowTwo slows two engines to a third of their speed after ten seconds.
func slowTwo(f *fleet.Fleet) {
	time.Sleep(10 * time.Second)
	for _, e := range f.Engines[:2] {
		_ = f.InjectFault(e.Address, `{"Slow":3}`)
	}
}

// comparePolicies runs every scenario with every policy on the same seeds.
func (b *bench) comparePolicies(ctx context.Context) error {
	for _, s := range scenarios {
		if !b.wants(s.name) {
			continue
		}
		t := newTable()
		for repeat := range b.Repeats {
			for _, p := range policies {
				if b.Policy != "" && b.Policy != p.name {
					continue
				}
				if err := b.runScenario(ctx, t, s, p, uint64(repeat+1)); err != nil {
					return fmt.Errorf("%s, %s: %w", s.name, p.name, err)
				}
			}
		}
		if err := b.finish(t, s.name); err != nil {
			return err
		}
	}
	return nil
}

func (b *bench) runScenario(ctx context.Context, t *table, s scenario, p policy, seed uint64) error {
	f, err := b.fleet(ctx, 4, engines(), p.text)
	if err != nil {
		return err
	}
	defer f.Stop()
	if s.fault != nil {
		go s.fault(f)
	}
	samples := offer(ctx, f, seed, s.phases(capacity(f.Engines)))
	b.record(t, p.name, samples)
	return nil
}

// record adds the figures of one run.
func (b *bench) record(t *table, name string, samples []sample) {
	var first, total, gaps []time.Duration
	count := map[string]float64{}
	good := map[string]float64{}
	for i := range samples {
		s := &samples[i]
		kind := "short"
		if s.Long {
			kind = "long"
		}
		count[kind]++
		count[s.Organisation]++
		if s.good() {
			good[kind]++
			good[s.Organisation]++
		}
		switch {
		case s.Code == "not_run":
			count["refused"]++
		case s.Code != "":
			count["broken"]++
		case !s.Long:
			first = append(first, s.First)
			total = append(total, s.Total)
		}
		gaps = append(gaps, s.Gaps...)
	}
	t.addTimes(name, "short first token", first, 50, 95, 99)
	t.addTimes(name, "short whole", total, 95, 99)
	t.addTimes(name, "token gap", gaps, 95, 99)
	for _, kind := range []string{"short", "long", "scordia", "qalamdaan"} {
		t.add(name, kind+" in time %", 100*good[kind]/max(count[kind], 1))
	}
	t.add(name, "refused %", 100*count["refused"]/float64(len(samples)))
	t.add(name, "broken", count["broken"])
}
