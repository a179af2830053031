package bench

import (
	"context"
	"fmt"
	"os"
	"strings"
	"sync"
	"time"

	"github.com/google/uuid"

	"wisteriafield/internal/trial/caller"
	"wisteriafield/internal/trial/fleet"
)

const (
	resumeStreams = 24
	resumeTokens  = 200
	caseTimeout   = time.Minute
)

// faultCase is a fault that interrupts streams.
type faultCase struct {
	name   string
	inject func(f *fleet.Fleet, keeper string) // keeper is the name of a router
}

var faultCases = []faultCase{
	{"nothing", func(*fleet.Fleet, string) {}},
	{"engine killed", func(f *fleet.Fleet, _ string) {
		f.Process(f.Engines[0].Name).Kill()
		f.Process(f.Engines[3].Name).Kill()
	}},
	{"engine connections silent", func(f *fleet.Fleet, _ string) {
		for _, e := range f.Engines {
			_ = f.InjectFault(e.Address, `{"Silence":true}`)
		}
	}},
	{"engine paused", func(f *fleet.Fleet, _ string) {
		f.Process(f.Engines[0].Name).Pause()
		f.Process(f.Engines[3].Name).Pause()
	}},
	{"keeper killed", func(f *fleet.Fleet, keeper string) { f.Process(keeper).Kill() }},
	{"keeper paused", func(f *fleet.Fleet, keeper string) { f.Process(keeper).Pause() }},
	{"router links silent", func(f *fleet.Fleet, _ string) {
		for _, r := range f.Routers {
			r.PeerLink.Silence()
		}
	}},
	{"entry killed", func(f *fleet.Fleet, _ string) { f.Routers[0].Kill() }},
}

// measureResume measures the longest gap that each fault leaves in the streams it
// affects.
func (b *bench) measureResume(ctx context.Context) error {
	t := newTable()
	for range b.Repeats {
		for _, fault := range faultCases {
			if !b.selected("resume: " + fault.name) {
				continue
			}
			if err := b.runFaultCase(ctx, t, fault); err != nil {
				return fmt.Errorf("%s: %w", fault.name, err)
			}
		}
	}
	return b.finish(t, "resume")
}

func (b *bench) runFaultCase(ctx context.Context, t *table, fault faultCase) error {
	f, err := b.startFleet(ctx, 4, engines()[:10], "")
	if err != nil {
		return err
	}
	defer f.Stop()
	answers := make([]*caller.Answer, resumeStreams)
	ctx, cancel := context.WithTimeout(ctx, caseTimeout)
	defer cancel()
	reached := make(chan string, resumeStreams)
	c := caller.New()
	routers := f.CallerAddresses()
	var wg sync.WaitGroup
	for i := range answers {
		wg.Add(1)
		go func() {
			defer wg.Done()
			req := caller.Request{Key: fleet.KeyQalamdaan, IdempotencyKey: uuid.NewString(), Model: "redattore", MaxTokens: resumeTokens, Prompt: "Draft " + uuid.NewString()}
			order := append(append([]string{}, routers[i%len(routers):]...), routers[:i%len(routers)]...)
			answers[i], _ = c.Stream(ctx, order, req, func(a *caller.Answer) {
				if len(a.Texts) == resumeTokens/3 {
					keeper, _, _ := strings.Cut(a.LastEventID, "/")
					reached <- keeper
				}
			})
		}()
	}
	keeper := ""
	for range resumeStreams / 3 {
		keeperName := <-reached
		if keeperName != f.Routers[0].Host.Name {
			keeper = keeperName
		}
	}
	before := prefilledTokens(f)
	fault.inject(f, keeper)
	wg.Wait()
	recordFaultCase(t, fault.name, answers, float64(prefilledTokens(f)-before))
	return nil
}

func recordFaultCase(t *table, name string, answers []*caller.Answer, recomputed float64) {
	var gaps []time.Duration
	affected, broken, refused, attempts := 0.0, 0.0, 0.0, 0.0
	for _, a := range answers {
		if a.Code == "not_run" {
			refused++
			continue
		}
		if err := a.Check(resumeTokens); err != nil {
			fmt.Fprintf(os.Stderr, "%s: incomplete answer: %v, code %q, status %d, %d reconnections, last event %s\n", name, err, a.Code, a.Status, a.Reconnections, a.LastEventID)
			broken++
			continue
		}
		attempts += float64(a.Attempts())
		if a.Reconnections > 0 && !strings.HasPrefix(name, "entry") {
			// Its entry was affected too, so its gap is not that of this fault.
			continue
		}
		if a.Attempts() > 1 || a.Reconnections > 0 || name == "nothing" || strings.Contains(name, "silent") {
			affected++
			gaps = append(gaps, a.MaxGap)
		}
	}
	t.add(name, "streams hit", affected)
	t.add(name, "streams refused", refused)
	t.add(name, "streams broken", broken)
	t.add(name, "attempts a stream", attempts/float64(len(answers)))
	if affected > 0 {
		t.addTimes(name, "longest gap", gaps, 50, 95, 100)
	}
	t.add(name, "tokens recomputed a stream hit", recomputed/max(affected, 1))
}

// prefilledTokens returns the number of tokens that the running engines have prefilled.
func prefilledTokens(f *fleet.Fleet) int {
	n := 0
	for _, e := range f.Engines {
		if !f.Process(e.Name).Running() {
			continue
		}
		if state, err := f.EngineState(e); err == nil {
			n += state.Stats.Prefilled
		}
	}
	return n
}
