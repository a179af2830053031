package enginesim

import (
	"math"
	"math/rand/v2"
	"slices"

	"wisteriafield/internal/decision/balance"
	"wisteriafield/internal/decision/enginespeed"
)

const (
	meanPrompt = 5_200
	crashEvery = 3_200.0
	crashLasts = 1_200.0
	domains    = 3
)

// Fleet is a fleet of engines, its load, and what is known for placing.
type Fleet struct {
	Engines     int
	Slots       int
	Factors     []float64 // of the times of the engines
	StepMs      float64
	EventTokens int
	Output      int // mean output tokens
	PerSecond   float64
	Crashes     bool // a quarter of the engines crashes at a time

	Sample     int     // engines of which one is chosen
	LoadAge    float64 // ms
	Learn      bool    // speeds are learned, not known
	Routers    int     // that learn from their own attempts each
	SpeedError float64 // known speeds are wrong by up to this factor either way, if above 1
	Seconds    float64
	Seed       uint64
}

// FleetA and FleetB return the fleets of docs/design/load-parts.md, placed by owners with the
// loads known exactly.
func FleetA() Fleet {
	return Fleet{Engines: 120, Slots: 48, Factors: []float64{0.6, 1, 1.6}, StepMs: 3.79, EventTokens: 7, Output: 980, PerSecond: 33, Sample: 16, Learn: true, Routers: 69, Seconds: 60, Seed: 1}
}

func FleetB() Fleet {
	return Fleet{Engines: 224, Slots: 12, Factors: []float64{1, 1, 1.3}, StepMs: 6.12, EventTokens: 5, Output: 650, PerSecond: 59, Crashes: true, Sample: 16, Learn: true, Routers: 36, Seconds: 60, Seed: 1}
}

// Choose returns the index of the engine for an attempt. Speeds may be unknown.
type Choose func(candidates []balance.Engine, speeds []enginespeed.Speed, prompt, output int, random float64) int

// Result is how the attempts of a fleet fared. Durations are those of whole attempts, in ms.
type Result struct {
	Mean, P50, P90 float64
	Lost           float64 // share of attempts that ended in a crash
	Whole          int
}

type simulation struct {
	*Fleet
	engines []*engine
	random  *rand.Rand // of the load
	sampler *rand.Rand // of the engines to choose from
	choose  Choose
	ended   []*attempt
	lost    int
}

// Run simulates the fleet. What begins in the first fifth of the time is not measured.
func (f Fleet) Run(choose Choose) Result {
	s := &simulation{Fleet: &f, random: rand.New(rand.NewPCG(f.Seed, 1)), sampler: rand.New(rand.NewPCG(f.Seed, 2)), choose: choose}
	for i := range f.Engines {
		known := 1.0
		if f.SpeedError > 1 {
			known = math.Pow(f.SpeedError, 2*s.sampler.Float64()-1)
		}
		s.engines = append(s.engines, &engine{fleet: s.Fleet, domain: i % domains, factor: f.Factors[i/domains%len(f.Factors)], known: known, trackers: make([]enginespeed.Tracker, f.Routers)})
	}
	end := f.Seconds * 1000
	arrival, crash, crashes := 0.0, math.Inf(1), 0
	if f.Crashes {
		crash = crashEvery
	}
	for {
		arrival += s.random.ExpFloat64() * 1000 / f.PerSecond
		for ; crash <= arrival; crash += crashEvery {
			s.crash(crash, crashes%domains)
			crashes++
		}
		if arrival > end {
			break
		}
		s.place(arrival, &attempt{prompt: s.spread(meanPrompt), output: s.spread(f.Output)})
	}
	for _, e := range s.engines {
		e.advance(end + 20_000)
		s.ended = append(s.ended, e.attempts...)
	}
	return s.result()
}

// spread returns a length from 0.6 to 1.4 times the mean.
func (s *simulation) spread(mean int) int { return int(float64(mean) * (0.6 + 0.8*s.random.Float64())) }

// place sends an attempt to one of a random sample of the engines that are up.
func (s *simulation) place(now float64, a *attempt) {
	var sample []*engine
	var candidates []balance.Engine
	var speeds []enginespeed.Speed
	for _, i := range s.sampler.Perm(len(s.engines)) {
		e := s.engines[i]
		if e.downTill > now || len(sample) == s.Sample {
			continue
		}
		e.advance(now)
		sample, candidates, speeds = append(sample, e), append(candidates, e.load(now-s.LoadAge)), append(speeds, e.speed())
	}
	prompt := a.prompt
	if a.resumed {
		prompt = 0
	}
	e := sample[s.choose(candidates, speeds, prompt, s.Output, s.sampler.Float64())]
	a.at, a.firstAt, a.endAt = now, math.Inf(1), math.Inf(1)
	a.router = s.sampler.IntN(s.Routers)
	a.promptLeft, a.alone = prompt, e.queued(now, a.router) == 0
	s.ended = append(s.ended, e.forget(now)...)
	e.attempts = append(e.attempts, a)
}

// crash ends the attempts of a quarter of the engines, all of one failure domain, and resumes
// them from their backups on others.
func (s *simulation) crash(now float64, domain int) {
	var lost []*attempt
	left := s.Engines / 4
	for _, i := range s.random.Perm(len(s.engines)) {
		e := s.engines[i]
		if e.domain != domain || left == 0 {
			continue
		}
		left--
		e.advance(now)
		e.downTill = now + crashLasts
		for _, a := range e.attempts {
			if a.endAt <= now {
				s.ended = append(s.ended, a)
			} else {
				lost = append(lost, a)
			}
		}
		e.attempts = nil
		for i := range e.trackers {
			e.trackers[i] = e.trackers[i].Restarted()
		}
	}
	for _, a := range lost {
		if a.at > s.Seconds*200 {
			s.lost++
		}
		resumed := &attempt{prompt: a.prompt, output: max(1, a.output-a.done), resumed: a.done > 0}
		s.place(now, resumed)
	}
}

func (s *simulation) result() Result {
	var took []float64
	all, sum := s.lost, 0.0
	for _, a := range s.ended {
		if a.at <= s.Seconds*200 || math.IsInf(a.endAt, 1) {
			continue
		}
		all++
		if !a.resumed {
			took = append(took, a.endAt-a.at)
			sum += a.endAt - a.at
		}
	}
	slices.Sort(took)
	n := len(took)
	return Result{Mean: sum / float64(n), P50: took[n/2], P90: took[n*9/10], Lost: float64(s.lost) / float64(all), Whole: n}
}
