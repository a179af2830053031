package bench

import (
	"context"
	"fmt"
	"time"

	"wisteriafield/internal/trial/fleet"
)

// policy is a routing and queueing policy.
type policy struct {
	name     string
	settings string // lines of the document's section Policy
}

var policies = []policy{
	{"entry and keeper", "Routing = TwoHop\nQueueing = ByClass"},
	{"entry and keeper, arrival order", "Routing = TwoHop\nQueueing = Arrival"},
	{"one hop, power of two", "Routing = PowerOfTwo"},
	{"one hop, weighted cost", "Routing = WeightedCost"},
}

// engines returns twenty engines of differing speeds.
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

// requestCapacity returns the number of requests a second that the engines serve when
// all their slots are in use.
func requestCapacity(all []fleet.Engine) float64 {
	var tokens float64
	for _, e := range all {
		tokens += float64(e.Slots) * e.Speed / (1 + fleet.BatchOverhead)
	}
	return tokens / (longFraction*longTokens + (1-longFraction)*shortTokens)
}

// scenario is a load on a fleet and an optional fault.
type scenario struct {
	name   string // also names the files of the results
	phases func(capacity float64) []phase
	fault  func(f *fleet.Fleet)
}

var scenarios = []scenario{
	// At the peak, requests arrive at three times the mean rate.
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

// slowTwo slows two engines to a third of their speed after 10 s.
func slowTwo(f *fleet.Fleet) {
	time.Sleep(10 * time.Second)
	for _, e := range f.Engines[:2] {
		_ = f.InjectFault(e.Address, `{"Slow":3}`)
	}
}

// comparePolicies runs every scenario with every policy and the same seeds.
func (b *bench) comparePolicies(ctx context.Context) error {
	for _, s := range scenarios {
		if !b.selected(s.name) {
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
	f, err := b.startFleet(ctx, 4, engines(), p.settings)
	if err != nil {
		return err
	}
	defer f.Stop()
	if s.fault != nil {
		go s.fault(f)
	}
	samples := sendOpenLoop(ctx, f, seed, s.phases(requestCapacity(f.Engines)))
	b.recordSamples(t, p.name, samples)
	return nil
}

// recordSamples adds the results of one run.
func (b *bench) recordSamples(t *table, name string, samples []sample) {
	var firstTokens, totals, gaps []time.Duration
	count := map[string]float64{}
	inTime := map[string]float64{}
	for i := range samples {
		s := &samples[i]
		kind := "short"
		if s.Long {
			kind = "long"
		}
		count[kind]++
		count[s.Organisation]++
		if s.inTime() {
			inTime[kind]++
			inTime[s.Organisation]++
		}
		switch {
		case s.Code == "not_run":
			count["refused"]++
		case s.Code != "":
			count["broken"]++
		case !s.Long:
			firstTokens = append(firstTokens, s.FirstToken)
			totals = append(totals, s.Total)
		}
		gaps = append(gaps, s.Gaps...)
	}
	t.addTimes(name, "short first token", firstTokens, 50, 95, 99)
	t.addTimes(name, "short whole", totals, 95, 99)
	t.addTimes(name, "token gap", gaps, 95, 99)
	for _, kind := range []string{"short", "long", "scordia", "qalamdaan"} {
		t.add(name, kind+" in time %", 100*inTime[kind]/max(count[kind], 1))
	}
	t.add(name, "refused %", 100*count["refused"]/float64(len(samples)))
	t.add(name, "broken", count["broken"])
}
