package node_test

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"wisteriafield/internal/base/loop"
	"wisteriafield/internal/router/node"
	"wisteriafield/internal/standin/engine"
	"wisteriafield/internal/trial/caller"
)

// soundSilence is how long a sound engine may be silent.
const soundSilence = 1300 * time.Millisecond

// slowEngines starts engines that take a millisecond for each token of a prompt.
func (b *builder) slowEngines(n int, speed float64) []*engine.Engine {
	var all []*engine.Engine
	for i := range n {
		name := fmt.Sprintf("redattore-%d", i+1)
		e := engine.New(engine.Config{Name: name, Slots: 4, Speed: speed, Prefill: time.Second, Models: map[string]string{"redattore": "1"}})
		all = append(all, e)
		b.engines = append(b.engines, fmt.Sprintf("[Engine %s]\nAddress = %s\nDomain = catania\nRegion = sicilia\nSlots = 4\nSpeed = %g\nModels = redattore\n", name, b.serve(&e.Faults, e.Handler()), speed))
	}
	return all
}

// silence makes all engines send nothing, nor reply to probes, for soundSilence.
func silence(engines []*engine.Engine) {
	for _, e := range engines {
		e.Faults.Pause()
	}
	time.Sleep(soundSilence)
	for _, e := range engines {
		e.Faults.Resume()
	}
}

func setSlowdown(engines []*engine.Engine, factor float64) {
	for _, e := range engines {
		e.SetSlowdown(factor)
	}
}

func TestAMomentOfSilenceOfAllEnginesCostsNoAttempt(t *testing.T) {
	for i, c := range []struct {
		name           string
		engines, words int
		silentAt       time.Duration
		speed          float64
		slowdown       float64 // from the silence on, for one token
	}{
		{name: "in the answer, one engine", engines: 1, words: 1, silentAt: time.Second, speed: 20, slowdown: 1},
		{name: "in the answer", engines: 2, words: 1, silentAt: time.Second, speed: 20, slowdown: 1},
		{name: "in the prefill", engines: 2, words: 3000, silentAt: 1200 * time.Millisecond, speed: 20, slowdown: 1},
		{name: "in a pause of the answer", engines: 1, words: 1, silentAt: 200 * time.Millisecond, speed: 100, slowdown: 200},
	} {
		t.Run(c.name, func(t *testing.T) {
			b := newBuilder(t)
			engines := b.slowEngines(c.engines, c.speed)
			n, address := b.router("catania-1", 32260+10*i)
			b.publishConfiguration()
			b.awaitPlan(n)
			time.AfterFunc(c.silentAt, func() {
				setSlowdown(engines, c.slowdown)
				time.Sleep(50 * time.Millisecond) // in which the tokens that were due are sent
				silence(engines)
				setSlowdown(engines, 1)
			})
			ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
			defer cancel()
			req := caller.Request{Key: "key", Model: "redattore", MaxTokens: 40, Prompt: strings.Repeat("x ", c.words)}
			a, err := caller.New().StreamTokens(ctx, []string{address}, req, nil)
			b.g.Expect(err).NotTo(HaveOccurred())
			b.g.Expect(a.Check(40)).To(Succeed())
			started := 0
			for _, e := range engines {
				started += e.Stats().Started
			}
			b.g.Expect(started).To(Equal(1), "attempts")
		})
	}
}

func TestAnEngineThatStaysSilentIsLeftForAFreeOne(t *testing.T) {
	for routers := 1; routers <= 2; routers++ { // with two, each may manage one of the engines
		t.Run(fmt.Sprintf("%d routers", routers), func(t *testing.T) {
			b := newBuilder(t)
			engines := b.slowEngines(2, 20)
			var nodes []*node.Node
			var address string
			for i := range routers {
				n, callerAddress := b.router(fmt.Sprintf("catania-%d", i+1), 32330+10*i)
				nodes, address = append(nodes, n), callerAddress
			}
			b.publishConfiguration()
			b.awaitPlan(nodes...)
			ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
			defer cancel()
			pause := func(tokens int) {
				for _, e := range engines {
					if tokens == 10 && e.Stats().Started > 0 {
						e.Faults.Pause()
					}
				}
			}
			a, err := caller.New().StreamTokens(ctx, []string{address}, caller.Request{Key: "key", Model: "redattore", MaxTokens: 40, Prompt: "x"}, pause)
			b.g.Expect(err).NotTo(HaveOccurred())
			b.g.Expect(a.Check(40)).To(Succeed())
			b.g.Expect(slices.Max(a.Gaps)).To(BeNumerically("<", 2*time.Second))
		})
	}
}

// leaveOneAfterTheOther makes each of the engines leave for some seconds, the last one for good.
func leaveOneAfterTheOther(ctx context.Context, engines []*engine.Engine) {
	for i, e := range engines {
		if !loop.Sleep(ctx, 3*time.Second) {
			return
		}
		e.SetLeaving(true)
		if i > 0 {
			engines[i-1].SetLeaving(false)
		}
	}
}

// Generations with a long prompt were interrupted: they had lost an attempt to each silence.
func TestSilencesOfAllEnginesBesidePlannedStopsEndNoGeneration(t *testing.T) {
	b := newBuilder(t)
	engines := b.slowEngines(4, 20)
	var nodes []*node.Node
	var addresses []string
	for i := range 3 {
		n, address := b.router(fmt.Sprintf("catania-%d", i+1), 32350+10*i)
		nodes, addresses = append(nodes, n), append(addresses, address)
	}
	b.publishConfiguration()
	b.awaitPlan(nodes...)
	time.Sleep(informedTime)
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	var background sync.WaitGroup
	background.Go(func() { leaveOneAfterTheOther(ctx, engines[:2]) })
	background.Go(func() {
		for loop.Sleep(ctx, 1700*time.Millisecond) {
			silence(engines)
		}
	})
	stopRouter := b.stops[len(b.stops)-1]
	b.stops = b.stops[:len(b.stops)-1]
	background.Go(func() {
		loop.Sleep(ctx, 6*time.Second)
		stopRouter()
	})
	answers := make([]*caller.Answer, 8)
	var callers sync.WaitGroup
	for i := range answers {
		callers.Go(func() {
			time.Sleep(time.Duration(i) * 700 * time.Millisecond)
			req := caller.Request{Key: "key", IdempotencyKey: fmt.Sprint("k", i), Model: "redattore", MaxTokens: 100, Prompt: strings.Repeat("x ", []int{1, 3000}[i%2])}
			answers[i], _ = caller.New().StreamTokens(ctx, []string{addresses[i%3], addresses[0]}, req, nil)
		})
	}
	callers.Wait()
	cancel()
	background.Wait()
	for i, a := range answers {
		b.g.Expect(a.Check(100)).To(Succeed(), "generation %d: %s", i, a.Code)
	}
}
