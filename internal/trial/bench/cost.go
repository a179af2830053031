package bench

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/google/uuid"

	"wisteriafield/internal/trial/caller"
	"wisteriafield/internal/trial/fleet"
	"wisteriafield/internal/trial/procfs"
)

const (
	costRequests    = 600
	costTokens      = 100
	costConcurrency = 60
)

// measureCost measures the CPU time and memory of the routers for a request and a
// token, with the same load sent straight to the engine as the baseline.
func (b *bench) measureCost(ctx context.Context) error {
	t := newTable()
	for range b.Repeats {
		for _, c := range []struct{ name, policy string }{
			{"straight to the engine", ""}, {"one hop", "Routing = PowerOfTwo"}, {"two hops", "Routing = TwoHop"},
		} {
			if err := b.runCost(ctx, t, c.name, c.policy); err != nil {
				return fmt.Errorf("%s: %w", c.name, err)
			}
		}
	}
	return b.finish(t, "cost")
}

func (b *bench) runCost(ctx context.Context, t *table, name, policy string) error {
	fastEngine := []fleet.Engine{{Name: "engine-01", Domain: "catania", Slots: 64, Speed: 400}}
	f, err := b.startFleet(ctx, 2, fastEngine, policy)
	if err != nil {
		return err
	}
	defer f.Stop()
	before := cpuSeconds(f)
	startedAt := time.Now()
	firstTokens := sendCostRequests(ctx, f, policy == "")
	elapsed := time.Since(startedAt).Seconds()
	t.addTimes(name, "first token", firstTokens, 50, 95)
	t.add(name, "tokens/s", costRequests*costTokens/elapsed)
	if policy == "" {
		return nil
	}
	routerCPU := cpuSeconds(f) - before
	t.add(name, "router CPU us a token", routerCPU*1e6/(costRequests*costTokens))
	t.add(name, "router CPU ms a request", routerCPU*1e3/costRequests)
	t.add(name, "router memory MB", meanMemory(f))
	return nil
}

// sendCostRequests sends costRequests requests, at most costConcurrency at a time, and
// returns the times to the first token.
func sendCostRequests(ctx context.Context, f *fleet.Fleet, direct bool) []time.Duration {
	jobs := make(chan int)
	var mu sync.Mutex
	var firstTokens []time.Duration
	var wg sync.WaitGroup
	c := caller.New()
	for range costConcurrency {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for i := range jobs {
				var firstToken time.Duration
				if direct {
					firstToken = streamFromEngine(ctx, f.Engines[0].Address)
				} else {
					a, _ := c.Stream(ctx, []string{f.CallerAddresses()[i%2]}, caller.Request{Key: fleet.KeyScordia, Model: "redattore", MaxTokens: costTokens, Prompt: "cost"}, nil)
					firstToken = a.TimeToFirstToken
				}
				mu.Lock()
				firstTokens = append(firstTokens, firstToken)
				mu.Unlock()
			}
		}()
	}
	for i := range costRequests {
		jobs <- i
	}
	close(jobs)
	wg.Wait()
	return firstTokens
}

// streamFromEngine streams an answer straight from the engine and returns the time to
// the first token.
func streamFromEngine(ctx context.Context, address string) time.Duration {
	body := fmt.Sprintf(`{"Generation":%q,"Attempt":"a","Model":"redattore","Version":"1","Prompt":"cost","MaxTokens":%d}`, uuid.NewString(), costTokens)
	startedAt := time.Now()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+"/v1/generate", bytes.NewReader([]byte(body)))
	if err != nil {
		return 0
	}
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0
	}
	defer res.Body.Close()
	_, _ = res.Body.Read(make([]byte, 1))
	firstToken := time.Since(startedAt)
	_, _ = io.Copy(io.Discard, res.Body)
	return firstToken
}

// cpuSeconds returns the CPU time in seconds that all routers have used.
func cpuSeconds(f *fleet.Fleet) float64 {
	sum := 0.0
	for _, r := range f.Routers {
		sum += procfs.ReadUsage(r.PID()).CPU
	}
	return sum
}

// meanMemory returns the mean resident memory of a router in MB.
func meanMemory(f *fleet.Fleet) float64 {
	sum := 0.0
	for _, r := range f.Routers {
		sum += procfs.ReadUsage(r.PID()).Memory
	}
	return sum / float64(len(f.Routers))
}
