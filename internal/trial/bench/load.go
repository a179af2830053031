// Package bench measures the system: what a resume costs, service at the crest
// of a swing, short work behind long, tails with slowed servers, and the price
// of a request.
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
	shortTokens = 32
	longTokens  = 400
	longShare   = 0.07

	shortWithin = 4 * time.Second  // a short answer is good if whole by then
	longWithin  = 40 * time.Second // a long one
)

// phase is a stretch of time with a rate of arrivals.
type phase struct {
	rate float64 // requests a second
	last time.Duration
}

// sample is one request.
type sample struct {
	Long         bool
	Organisation string
	At           time.Duration // of arrival
	First        time.Duration
	Total        time.Duration
	Gaps         []time.Duration
	Code         string
	Whole        bool
}

// good reports whether the answer came whole and in time.
func (s *sample) good() bool {
	if s.Long {
		return s.Whole && s.Total <= longWithin
	}
	return s.Whole && s.Total <= shortWithin
}

// arrivals draws the times of requests: an open loop, the same for each seed.
func arrivals(seed uint64, phases []phase) []time.Duration {
	r := rand.New(rand.NewPCG(seed, 1))
	var all []time.Duration
	var from time.Duration
	for _, p := range phases {
		at := from
		for {
			at += time.Duration(r.ExpFloat64() / p.rate * float64(time.Second))
			if at >= from+p.last {
				break
			}
			all = append(all, at)
		}
		from += p.last
	}
	return all
}

// offer sends requests at the drawn times and waits for all answers.
func offer(ctx context.Context, f *fleet.Fleet, seed uint64, phases []phase) []sample {
	times := arrivals(seed, phases)
	samples := make([]sample, len(times))
	r := rand.New(rand.NewPCG(seed, 2))
	c := caller.New()
	routers := f.CallerAddresses()
	start := time.Now()
	var wg sync.WaitGroup
	for i, at := range times {
		long := r.Float64() < longShare
		org, key := "scordia", fleet.KeyScordia
		if r.Float64() < 0.3 {
			org, key = "qalamdaan", fleet.KeyQalamdaan
		}
		router := routers[r.IntN(len(routers))]
		samples[i] = sample{Long: long, Organisation: org, At: at}
		loop.SleepUntil(ctx, start.Add(at))
		wg.Add(1)
		go func() {
			defer wg.Done()
			one(ctx, c, router, key, &samples[i])
		}()
	}
	wg.Wait()
	return samples
}

func one(ctx context.Context, c *caller.Caller, router, key string, s *sample) {
	req := caller.Request{Key: key, Model: "redattore", MaxTokens: shortTokens, Prompt: "Summarise the municipal contract file " + uuid.NewString()}
	if s.Long {
		req.MaxTokens = longTokens
		req.IdempotencyKey = uuid.NewString()
	}
	begin := time.Now()
	a, _ := c.Stream(ctx, []string{router}, req, nil)
	s.Total = time.Since(begin)
	s.First, s.Gaps, s.Code = a.TimeToFirstToken, a.Gaps, a.Code
	s.Whole = a.Check(req.MaxTokens) == nil
	if s.Code == "" && !s.Whole {
		s.Code = "broken"
	}
}
