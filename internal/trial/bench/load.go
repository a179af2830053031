// Package bench measures the system: the gap that a resume leaves in a stream, service at
// the peak of a load swing, short requests behind long ones, tail latency with slowed
// engines, and the cost of a request.
package bench

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/google/uuid"

	"wisteriafield/internal/base/loop"
	"wisteriafield/internal/trial/caller"
	"wisteriafield/internal/trial/fleet"
)

const (
	shortTokens  = 32
	longTokens   = 400
	longFraction = 0.07

	shortTimeLimit = 4 * time.Second  // for a complete short answer
	longTimeLimit  = 40 * time.Second // for a complete long answer
)

// phase is a period with a constant arrival rate.
type phase struct {
	rate     float64 // requests a second
	duration time.Duration
}

// sample is the result of one request.
type sample struct {
	Long         bool
	Organisation string
	ArrivedAt    time.Duration // since the start of the load
	FirstToken   time.Duration
	Total        time.Duration
	Gaps         []time.Duration
	Code         string
	Complete     bool
}

// inTime reports whether the answer was complete within its time limit.
func (s *sample) inTime() bool {
	if s.Long {
		return s.Complete && s.Total <= longTimeLimit
	}
	return s.Complete && s.Total <= shortTimeLimit
}

// arrivals draws the arrival times of an open loop with exponential gaps. They are the
// same for the same seed.
func arrivals(seed uint64, phases []phase) []time.Duration {
	r := rand.New(rand.NewPCG(seed, 1))
	var all []time.Duration
	var phaseStart time.Duration
	for _, p := range phases {
		at := phaseStart
		for {
			at += time.Duration(r.ExpFloat64() / p.rate * float64(time.Second))
			if at >= phaseStart+p.duration {
				break
			}
			all = append(all, at)
		}
		phaseStart += p.duration
	}
	return all
}

// sendOpenLoop sends requests at the drawn arrival times, whether or not earlier ones
// have been answered, and waits for all answers.
func sendOpenLoop(ctx context.Context, f *fleet.Fleet, seed uint64, phases []phase) []sample {
	times := arrivals(seed, phases)
	samples := make([]sample, len(times))
	r := rand.New(rand.NewPCG(seed, 2))
	c := caller.New()
	routers := f.CallerAddresses()
	start := time.Now()
	var wg sync.WaitGroup
	for i, at := range times {
		long := r.Float64() < longFraction
		org, key := "scordia", fleet.KeyScordia
		if r.Float64() < 0.3 {
			org, key = "qalamdaan", fleet.KeyQalamdaan
		}
		router := routers[r.IntN(len(routers))]
		samples[i] = sample{Long: long, Organisation: org, ArrivedAt: at}
		loop.SleepUntil(ctx, start.Add(at))
		wg.Add(1)
		go func() {
			defer wg.Done()
			send(ctx, c, router, key, &samples[i])
		}()
	}
	wg.Wait()
	return samples
}

// send sends one request and fills in its sample.
func send(ctx context.Context, c *caller.Caller, router, key string, s *sample) {
	req := caller.Request{Key: key, Model: "redattore", MaxTokens: shortTokens, Prompt: "Summarise the municipal contract file " + uuid.NewString()}
	if s.Long {
		req.MaxTokens = longTokens
		req.IdempotencyKey = uuid.NewString()
	}
	startedAt := time.Now()
	a, _ := c.Stream(ctx, []string{router}, req, nil)
	s.Total = time.Since(startedAt)
	s.FirstToken, s.Gaps, s.Code = a.TimeToFirstToken, a.Gaps, a.Code
	s.Complete = a.Check(req.MaxTokens) == nil
	if s.Code == "" && !s.Complete {
		s.Code = "broken"
	}
}
