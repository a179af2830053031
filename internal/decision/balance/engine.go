package balance

import (
	"cmp"
	"slices"
	"time"
)

const (
	// readRate is how many prompt tokens an engine of common speed reads in a
	// millisecond, and commonPace the time between its events.
	readRate   = 5.0
	commonPace = 33 * time.Millisecond
	// memoryShare of an engine is planned with; beyond it runs are preempted.
	memoryShare = 0.9
	// runCost is what a running generation adds to the cost of a new one, in ms:
	// reading a prompt of 5,000 tokens holds it up by some 600.
	runCost = 600.0
	// crowded is the cost in ms of an engine whose memory would not suffice.
	crowded = 20_000.0
	// errorCost is the cost in ms of an engine that loses every answer.
	errorCost = 6_000.0
	// stallCost is the cost in ms of an engine whose events arrive late for sure;
	// a generation has some 130 events, and one late event makes it late.
	stallCost   = 8_000.0
	stallWeight = 60.0
	// farCost is the cost in ms of another failure domain: bytes between domains
	// are priced, and their links may lose packets before that is known.
	farCost = 500.0
	// spread is how far equal candidates are told apart by chance, in ms.
	spread = 40.0
	// sampleSpread and sampleFar are the same for a sample. With 30 engines nearby
	// about one of a sample of four is from another failure domain.
	sampleSpread = 600.0
	sampleFar    = 60.0
)

// Engine is a model engine, as a candidate.
type Engine struct {
	Domain       string
	Running      int
	Slots        int
	QueuedTokens int // tokens that wait to be read
	UsedTokens   int // tokens in use and planned
	Capacity     int // tokens
	Pace         time.Duration
	OtherDomain  bool    // in another failure domain than this router
	StallRate    float64 // share of events that the link to it holds up
	ErrorRate    float64 // share of generations whose answers were lost, lately
	Down         bool
	Full         bool
}

// PickEngine returns the index of the engine for a generation, or -1. It
// answers long prompts that delay each other and memory that runs out: the
// engine that has read the prompt first, and has room for the whole run, wins.
// Engines of the failure domains to avoid are used only if no other can be.
func PickEngine(candidates []Engine, prompt, output int, avoid []string, random float64) int {
	best := cheapest(candidates, random, 1, func(c Engine) float64 {
		cost := engineCost(c, prompt, output)
		if slices.Contains(avoid, c.Domain) {
			cost += crowded / 2
		}
		return cost
	}, spread)
	if len(best) == 0 {
		return -1
	}
	return best[0]
}

// SampleEngines returns the indices of up to n engines by chance, for where the work
// of other routers is not known and the engines are asked. What all routers may know,
// such as the pace, has no say: they would all ask the same few. Engines that can't
// serve well are left out while there are others.
func SampleEngines(candidates []Engine, prompt, output int, avoid []string, random float64, n int) []int {
	return cheapest(candidates, random, n, func(c Engine) float64 {
		cost := errorCost*c.ErrorRate + stallCost*min(1, stallWeight*c.StallRate) + room(c, prompt, output)
		if c.OtherDomain {
			cost += sampleFar
		}
		if slices.Contains(avoid, c.Domain) {
			cost += crowded / 2
		}
		return cost
	}, sampleSpread)
}

// cheapest returns the indices of up to n engines that are not down, by cost and
// chance, the cheapest one first.
func cheapest(candidates []Engine, random float64, n int, cost func(Engine) float64, spread float64) []int {
	costs := make([]float64, len(candidates))
	var best []int
	for i, c := range candidates {
		if c.Down {
			continue
		}
		costs[i] = cost(c) + spread*fraction(random, i)
		at, _ := slices.BinarySearchFunc(best, costs[i], func(j int, cost float64) int { return cmp.Compare(costs[j], cost) })
		if at < n {
			best = slices.Insert(best, at, i)
			best = best[:min(len(best), n)]
		}
	}
	return best
}

// LoadReport is what an engine says of its work.
type LoadReport struct {
	Waiting    int // requests that wait or whose prompts are being read
	Running    int // requests, all of them
	UsedTokens int // tokens in use
}

// WithReport returns the candidate with what its engine says of the work that
// others gave it. A report lags, so the larger figure of the two counts. Prompts
// that wait are taken to be as long as the one to place.
func (e Engine) WithReport(r LoadReport, prompt int) Engine {
	e.QueuedTokens = max(e.QueuedTokens, r.Waiting*prompt)
	e.Running = max(e.Running, r.Running)
	e.UsedTokens = max(e.UsedTokens, r.UsedTokens+r.Waiting*prompt)
	return e
}

func engineCost(c Engine, prompt, output int) float64 {
	slowness := 1.0
	if c.Pace > 0 {
		slowness = float64(c.Pace) / float64(commonPace)
	}
	cost := slowness * (float64(c.QueuedTokens+prompt)/readRate + float64(c.Running)*runCost)
	cost += slowness * float64(output) // tokens at some 5 ms each weigh a fifth
	cost += errorCost * c.ErrorRate
	cost += stallCost * min(1, stallWeight*c.StallRate)
	if c.OtherDomain {
		cost += farCost
	}
	cost += room(c, prompt, output)
	return cost
}

// room is the cost of an engine that has no memory or no slot for a run.
func room(c Engine, prompt, output int) float64 {
	cost := 0.0
	if c.Capacity > 0 && float64(c.UsedTokens+prompt+output) > memoryShare*float64(c.Capacity) {
		cost += crowded
	}
	if c.Full || c.Slots > 0 && c.Running >= c.Slots {
		cost += 2 * crowded
	}
	return cost
}
