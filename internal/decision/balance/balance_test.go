package balance_test

import (
	"math/rand/v2"
	"sort"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"wisteriafield/internal/decision/balance"
)

func TestPickServicePrefersTheShortestWait(t *testing.T) {
	g := NewWithT(t)
	ms := time.Millisecond
	for _, c := range []struct {
		name       string
		candidates []balance.Service
		want       int
	}{
		{"none", nil, -1},
		{"idle before busy", []balance.Service{{Slots: 6, InFlight: 5, Latency: 15 * ms}, {Slots: 6, Latency: 15 * ms}}, 1},
		{"fast before slow", []balance.Service{{Slots: 6, Latency: 75 * ms}, {Slots: 6, InFlight: 2, Latency: 15 * ms}}, 1},
		{"healthy before failing", []balance.Service{{Slots: 6, Latency: 10 * ms, ErrorRate: 0.5}, {Slots: 6, InFlight: 3, Latency: 15 * ms}}, 1},
		{"own domain before another", []balance.Service{{Slots: 6, Latency: 15 * ms, OtherDomain: true}, {Slots: 6, Latency: 16 * ms}}, 1},
		{"another domain before one whose links stall", []balance.Service{{Slots: 6, Latency: 15 * ms, OtherDomain: true, StallRate: 0.04}, {Slots: 6, InFlight: 3, Latency: 15 * ms, OtherDomain: true}}, 1},
		{"full before down", []balance.Service{{Slots: 6, Latency: 15 * ms, Down: true}, {Slots: 6, InFlight: 6, Latency: 15 * ms, Full: true}}, 1},
		{"down if all are", []balance.Service{{Slots: 6, Down: true}}, 0},
	} {
		g.Expect(balance.PickService(c.candidates, 0.5)).To(Equal(c.want), c.name)
	}
}

func TestPickEngineAvoidsBusySlowAndFailingEngines(t *testing.T) {
	g := NewWithT(t)
	ms := time.Millisecond
	for _, c := range []struct {
		name       string
		candidates []balance.Engine
		avoid      []string
		want       int
	}{
		{"all down", []balance.Engine{{Down: true}}, nil, -1},
		{"an engine without waiting prompts", []balance.Engine{{QueuedTokens: 5000, Capacity: 55000}, {Capacity: 55000}}, nil, 1},
		{"memory for the whole attempt", []balance.Engine{{UsedTokens: 46000, Capacity: 55000}, {QueuedTokens: 5000, UsedTokens: 5000, Capacity: 55000}}, nil, 1},
		{"slow engines last", []balance.Engine{{Pace: 160 * ms, Capacity: 55000}, {Pace: 33 * ms, Running: 2, Capacity: 55000}}, nil, 1},
		{"engines whose generations fail last", []balance.Engine{{ErrorRate: 0.5, Capacity: 55000}, {Running: 2, Capacity: 55000}}, nil, 1},
		{"own domain before another", []balance.Engine{{OtherDomain: true, Capacity: 55000}, {QueuedTokens: 1000, Capacity: 55000}}, nil, 1},
		{"busy before an engine whose link stalls", []balance.Engine{{OtherDomain: true, StallRate: 0.02, Capacity: 55000}, {Running: 6, QueuedTokens: 10000, Capacity: 55000}}, nil, 1},
		{"a domain that is not to be avoided", []balance.Engine{{Domain: "a", Capacity: 55000}, {Domain: "b", Running: 4, Capacity: 55000}}, []string{"a"}, 1},
		{"a domain to avoid rather than none", []balance.Engine{{Domain: "a", Capacity: 55000}}, []string{"a"}, 0},
	} {
		g.Expect(balance.PickEngine(c.candidates, 5000, 800, c.avoid, 0.5)).To(Equal(c.want), c.name)
	}
}

// Callers reconnected 18 s after a power cut with a second left, and their prompts were
// prefilled in vain.
func TestFeasibleOnlyIfCompleteInTime(t *testing.T) {
	g := NewWithT(t)
	for _, c := range []struct {
		name                 string
		left                 time.Duration
		prompt, output, done int
		want                 bool
	}{
		{"all the time", 25 * time.Second, 5000, 1020, 0, true},
		{"a second for a complete draft", time.Second, 5000, 1020, 0, false},
		{"a second for the rest of a draft", time.Second, 5000, 1020, 600, true},
		{"no time left", 0, 5000, 1020, 0, false},
		{"sizes unknown", time.Millisecond, 0, 0, 0, true},
	} {
		g.Expect(balance.Feasible(c.left, c.prompt, c.output, c.done)).To(Equal(c.want), c.name)
	}
}

// simulatedEngine prefills prompts one after the other, and its running generations
// slow down meanwhile.
type simulatedEngine struct {
	slowness float64
	waiting  []*generation
	running  []*generation
}

type generation struct {
	startedAt  float64 // s
	prefill    float64 // s of prefill left at typical speed
	output     float64 // s of output left at typical speed
	firstAt    float64
	finishedAt float64
}

func (e *simulatedEngine) step(now, dt float64) {
	if len(e.waiting) > 0 {
		r := e.waiting[0]
		if r.prefill -= dt / e.slowness; r.prefill <= 0 {
			r.firstAt = now
			e.waiting, e.running = e.waiting[1:], append(e.running, r)
		}
		dt *= 0.15 // the fraction of their speed that a prefill leaves to the running generations
	}
	var running []*generation
	for _, r := range e.running {
		if r.output -= dt / e.slowness; r.output > 0 {
			running = append(running, r)
		} else {
			r.finishedAt = now
		}
	}
	e.running = running
}

// simulate sends generations at a rate to engines and returns how long they took,
// shortest first.
func simulate(pick func([]balance.Engine, float64) int, perSecond float64) []float64 {
	random := rand.New(rand.NewPCG(1, 2))
	var engines []*simulatedEngine
	for i := range 12 {
		engines = append(engines, &simulatedEngine{slowness: []float64{0.6, 1, 1.6}[i%3]})
	}
	var all []*generation
	const dt = 0.02
	for now := 0.0; now < 200; now += dt {
		if random.Float64() < perSecond*dt {
			candidates := make([]balance.Engine, len(engines))
			for i, e := range engines {
				candidates[i] = balance.Engine{
					Running: len(e.running) + len(e.waiting), QueuedTokens: 5000 * len(e.waiting), Capacity: 55000,
					UsedTokens: 5500 * (len(e.running) + len(e.waiting)), Pace: time.Duration(e.slowness * float64(33*time.Millisecond)),
				}
			}
			r := &generation{startedAt: now, prefill: 1, output: 4 * (0.5 + random.Float64())}
			e := engines[pick(candidates, random.Float64())]
			e.waiting = append(e.waiting, r)
			all = append(all, r)
		}
		for _, e := range engines {
			e.step(now, dt)
		}
	}
	var took []float64
	for _, r := range all {
		if r.finishedAt > 0 {
			took = append(took, r.finishedAt-r.startedAt)
		}
	}
	sort.Float64s(took)
	return took
}

func pickLeastQueued(candidates []balance.Engine, _ float64) int {
	best := 0
	for i, c := range candidates {
		if c.QueuedTokens < candidates[best].QueuedTokens {
			best = i
		}
	}
	return best
}

// The longer a generation runs, the more likely a failure hits it, so what counts for
// callers is how long the slow ones take while their engines prefill other prompts.
func TestGenerationsFinishSoonerThanByQueuedTokensAlone(t *testing.T) {
	g := NewWithT(t)
	picked := simulate(func(c []balance.Engine, random float64) int {
		return balance.PickEngine(c, 5000, 800, nil, random)
	}, 4)
	baseline := simulate(pickLeastQueued, 4)
	at := func(took []float64, quantile float64) float64 { return took[int(quantile*float64(len(took)-1))] }
	t.Logf("p50 %.1f s against %.1f s, p95 %.1f s against %.1f s", at(picked, 0.5), at(baseline, 0.5), at(picked, 0.95), at(baseline, 0.95))
	g.Expect(at(picked, 0.5)).To(BeNumerically("<", 0.8*at(baseline, 0.5)))
	g.Expect(at(picked, 0.95)).To(BeNumerically("<", 0.8*at(baseline, 0.95)))
	g.Expect(len(picked)).To(BeNumerically(">=", len(baseline)))
}
