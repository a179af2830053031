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
	costRequests = 600
	costTokens   = 100
	costParallel = 60
)

// measureCost measures what a request and a token cost the routers, against the
// same load sent straight to the engine.
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
	fast := []fleet.Engine{{Name: "engine-01", Domain: "catania", Slots: 64, Speed: 400}}
	f, err := b.fleet(ctx, 2, fast, policy)
	if err != nil {
		return err
	}
	defer f.Stop()
	before := cpu(f)
	begin := time.Now()
	first := flood(ctx, f, policy == "")
	elapsed := time.Since(begin).Seconds()
	t.addTimes(name, "first token", first, 50, 95)
	t.add(name, "tokens/s", costRequests*costTokens/elapsed)
	if policy == "" {
		return nil
	}
	spent := cpu(f) - before
	t.add(name, "router CPU us a token", spent*1e6/(costRequests*costTokens))
	t.add(name, "router CPU ms a request", spent*1e3/costRequests)
	t.add(name, "router memory MB", memory(f))
	return nil
}

// flood sends the requests with bounded parallelism.
func flood(ctx context.Context, f *fleet.Fleet, straight bool) []time.Duration {
	jobs := make(chan int)
	var mu sync.Mutex
	var first []time.Duration
	var wg sync.WaitGroup
	c := caller.New()
	for range costParallel {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for i := range jobs {
				var d time.Duration
				if straight {
					d = askEngine(ctx, f.Engines[0].Address)
				} else {
					a, _ := c.Stream(ctx, []string{f.CallerAddresses()[i%2]}, caller.Request{Key: fleet.KeyScordia, Model: "redattore", MaxTokens: costTokens, Prompt: "cost"}, nil)
					d = a.TimeToFirstToken
				}
				mu.Lock()
				first = append(first, d)
				mu.Unlock()
			}
		}()
	}
	for i := range costRequests {
		jobs <- i
	}
	close(jobs)
	wg.Wait()
	return first
}

// askEngine streams an answer from the engine itself, as the floor.
func askEngine(ctx context.Context, address string) time.Duration {
	body := fmt.Sprintf(`{"Generation":%q,"Attempt":"a","Model":"redattore","Version":"1","Prompt":"cost","MaxTokens":%d}`, uuid.NewString(), costTokens)
	begin := time.Now()
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
	first := time.Since(begin)
	_, _ = io.Copy(io.Discard, res.Body)
	return first
}

// cpu returns the processor seconds that all routers have used.
func cpu(f *fleet.Fleet) float64 {
	sum := 0.0
	for _, r := range f.Routers {
		sum += procfs.ReadUsage(r.PID()).CPU
	}
	return sum
}

// memory returns the mean resident memory of a router in MB.
func memory(f *fleet.Fleet) float64 {
	sum := 0.0
	for _, r := range f.Routers {
		sum += procfs.ReadUsage(r.PID()).Memory
	}
	return sum / float64(len(f.Routers))
}
