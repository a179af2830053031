package balance

import (
	"cmp"
	"slices"
	"time"
)

const (
	// typicalPrefillTokensPerMs is the prefill rate of an engine of typical speed, and
	// typicalPace its pace (inter-token latency).
	typicalPrefillTokensPerMs = 5.0
	typicalPace               = 33 * time.Millisecond
	// maxMemoryFraction is the fraction of an engine's memory that may be planned
	// for; beyond it the engine preempts attempts.
	maxMemoryFraction = 0.9
	// runningCostMs is what each running generation adds to the cost of a new one:
	// prefilling a prompt of 5,000 tokens delays a running one by some 600 ms.
	runningCostMs = 600.0
	// noCapacityCostMs is the cost of an engine whose memory would not suffice.
	noCapacityCostMs = 20_000.0
	// errorCostMs is the cost of an engine whose generations all fail.
	errorCostMs = 6_000.0
	// stallCostMs is the cost of an engine whose generations are certain to be late.
	// stallWeight times the stall rate estimates how likely that is: a generation has
	// some 130 events, and one late event makes it late.
	stallCostMs = 8_000.0
	stallWeight = 60.0
	// otherDomainCostMs is the cost of another failure domain: traffic between domains
	// is charged for, and their links may lose packets before that is known.
	otherDomainCostMs = 500.0
	// reservedCostMs makes up for a long queue: what reserved engines do not get goes to
	// the few that have no limit.
	reservedCostMs = -3_000.0
	// jitterMs is the random cost that breaks ties between equal candidates.
	jitterMs = 40.0
	// sampleJitterMs and sampleOtherDomainCostMs replace jitterMs and otherDomainCostMs
	// in a random sample. With 30 engines in this router's domain, about one in a
	// sample of four is from another domain.
	sampleJitterMs          = 600.0
	sampleOtherDomainCostMs = 60.0
)

// Engine is a candidate engine.
type Engine struct {
	Domain       string
	Running      int
	Slots        int
	QueuedTokens int // prompt tokens that wait for prefill
	UsedTokens   int // KV cache tokens in use and planned
	Capacity     int // KV cache size in tokens
	Pace         time.Duration
	OtherDomain  bool    // in another failure domain than this router
	StallRate    float64 // fraction of events delayed by stalls of the link to it
	ErrorRate    float64 // fraction of recent generations whose answers were lost
	Down         bool    // not to be used, since it failed
	Full         bool    // refused a request for lack of capacity
	// Reserved means that an idle engine limits its requests, and that this router's part of
	// the limit allows one, which no other router can use.
	Reserved bool
}

// PickEngine returns the index of the engine for a generation, or -1. Long prompts
// delay each other, and engines run out of memory, so it prefers the engine that would
// finish the prefill first and has memory for the whole attempt. Engines of the failure
// domains to avoid are used only if no others can be.
func PickEngine(candidates []Engine, prompt, output int, avoid []string, random float64) int {
	best := cheapest(candidates, random, 1, func(c Engine) float64 {
		cost := engineCost(c, prompt, output)
		if slices.Contains(avoid, c.Domain) {
			cost += noCapacityCostMs / 2
		}
		return cost
	}, jitterMs)
	if len(best) == 0 {
		return -1
	}
	return best[0]
}

// SampleEngines returns the indices of up to n random engines to probe for their load
// when the load from other routers is not known. It ignores what all routers may know,
// such as the pace, since otherwise they would all probe the same few engines. Engines
// that can't serve well are left out while there are others.
func SampleEngines(candidates []Engine, prompt, output int, avoid []string, random float64, n int) []int {
	return cheapest(candidates, random, n, func(c Engine) float64 {
		cost := errorCostMs*c.ErrorRate + stallCostMs*min(1, stallWeight*c.StallRate) + capacityCost(c, prompt, output)
		if c.OtherDomain {
			cost += sampleOtherDomainCostMs
		}
		if c.Reserved {
			cost += reservedCostMs
		}
		if slices.Contains(avoid, c.Domain) {
			cost += noCapacityCostMs / 2
		}
		return cost
	}, sampleJitterMs)
}

// cheapest returns the indices of up to n engines that are not down, ordered by cost
// plus random jitter, the cheapest first.
func cheapest(candidates []Engine, random float64, n int, cost func(Engine) float64, jitterMs float64) []int {
	costs := make([]float64, len(candidates))
	var best []int
	for i, c := range candidates {
		if c.Down {
			continue
		}
		costs[i] = cost(c) + jitterMs*fraction(random, i)
		at, _ := slices.BinarySearchFunc(best, costs[i], func(j int, cost float64) int { return cmp.Compare(costs[j], cost) })
		if at < n {
			best = slices.Insert(best, at, i)
			best = best[:min(len(best), n)]
		}
	}
	return best
}

// LoadReport is the load that an engine reports.
type LoadReport struct {
	Waiting    int // requests that wait or whose prompts are being prefilled
	Running    int // all requests, the waiting ones included
	UsedTokens int // KV cache tokens in use
}

// WithReport returns the candidate with the load that its engine reports, which
// includes the requests of other routers. A report lags, so the larger of the two
// figures counts. Waiting prompts are assumed to be as long as the one to place.
func (e Engine) WithReport(r LoadReport, prompt int) Engine {
	e.QueuedTokens = max(e.QueuedTokens, r.Waiting*prompt)
	e.Running = max(e.Running, r.Running)
	e.UsedTokens = max(e.UsedTokens, r.UsedTokens+r.Waiting*prompt)
	return e
}

func engineCost(c Engine, prompt, output int) float64 {
	slowness := 1.0
	if c.Pace > 0 {
		slowness = float64(c.Pace) / float64(typicalPace)
	}
	cost := slowness * (float64(c.QueuedTokens+prompt)/typicalPrefillTokensPerMs + float64(c.Running)*runningCostMs)
	cost += slowness * float64(output) // an output token takes some 5 ms and counts for a fifth of that
	return cost + riskCost(c) + capacityCost(c, prompt, output)
}

// riskCost is the cost of what an engine's link, failure domain and recent failures risk.
func riskCost(c Engine) float64 {
	cost := errorCostMs * c.ErrorRate
	cost += stallCostMs * min(1, stallWeight*c.StallRate)
	if c.OtherDomain {
		cost += otherDomainCostMs
	}
	if c.Reserved {
		cost += reservedCostMs
	}
	return cost
}

// capacityCost is the cost of an engine that has no memory or no slot for an attempt.
func capacityCost(c Engine, prompt, output int) float64 {
	cost := 0.0
	if c.Capacity > 0 && float64(c.UsedTokens+prompt+output) > maxMemoryFraction*float64(c.Capacity) {
		cost += noCapacityCostMs
	}
	if c.Full || c.Slots > 0 && c.Running >= c.Slots {
		cost += 2 * noCapacityCostMs
	}
	return cost
}
