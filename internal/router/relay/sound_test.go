package relay_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"wisteriafield/internal/backend/server"
	"wisteriafield/internal/router/relay"
)

// slowRefusals is a client whose engines take a while to refuse a request, and whose
// connection attempts take a while to fail.
type slowRefusals struct {
	relay.Client
	refusal, connect time.Duration
}

func (c slowRefusals) Send(ctx context.Context, d server.Dispatch) (*server.Answer, error) {
	a, err := c.Client.Send(ctx, d)
	switch {
	case err != nil && ctx.Err() == nil:
		time.Sleep(c.connect)
	case err == nil && a.NotExecuted:
		time.Sleep(c.refusal)
	}
	return a, err
}

// pausedBudget is a retry budget that is exhausted for a while.
type pausedBudget struct {
	*fakeBudget
	from, until time.Time
}

func (b pausedBudget) Allow(service string, now time.Time) bool {
	return (now.Before(b.from) || now.After(b.until)) && b.fakeBudget.Allow(service, now)
}

func (b pausedBudget) NextAt(service string, now time.Time) time.Time {
	if now.After(b.from) && now.Before(b.until) {
		return b.until
	}
	return b.fakeBudget.NextAt(service, now)
}

func TestAStreamThatLeftASilentEngineIsNotCutForLackOfRetries(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t)
		h.setFirstEngine(pausing)
		for _, id := range []string{"i-1", "i-2"} {
			h.engines.faults[id] = engineFaults{refuses: true}
		}
		time.AfterFunc(time.Second, func() { h.engines.setFaults(nil) })
		h.cfg.Client = slowRefusals{Client: h.cfg.Client, refusal: 400 * time.Millisecond}
		h.cfg.RetryBudget = pausedBudget{h.budget, time.Now().Add(600 * time.Millisecond), time.Now().Add(5 * time.Second)}
		h.relay = relay.New(h.cfg)
		res, cut := h.serve(h.newRequest(0))
		h.Expect(cut).To(BeFalse())
		h.Expect(res.Body.String()).To(Equal(eventText(1, 20)))
	})
}

func randomSoundFaults(r *rand.Rand) engineFaults {
	switch r.IntN(3) {
	case 0:
		return engineFaults{refuses: true}
	case 1:
		return engineFaults{pauseAfter: r.IntN(8), pause: time.Duration(200+r.IntN(1300)) * time.Millisecond, repliesInPause: r.IntN(2) == 0}
	default:
		return engineFaults{}
	}
}

// changeSoundFaults gives the engines other faults now and then, until ctx ends.
func (h *harness) changeSoundFaults(ctx context.Context, r *rand.Rand) {
	for ctx.Err() == nil {
		h.engines.setFaults(map[string]engineFaults{"i-0": randomSoundFaults(r), "i-1": randomSoundFaults(r), "i-2": randomSoundFaults(r)})
		time.Sleep(time.Duration(300+r.IntN(1000)) * time.Millisecond)
	}
}

func TestAStreamWhoseEnginesDoNotBreakOffIsNotCutBeforeItsDeadline(t *testing.T) {
	for seed := range uint64(1000) {
		synctest.Test(t, func(t *testing.T) {
			r := rand.New(rand.NewPCG(seed, 1))
			h := newHarness(t)
			h.setFirstEngine(engineFaults{})
			h.budget.most, h.engines.unreachable = r.IntN(5), r.IntN(3)
			h.route.MaxAttempts = 1 + r.IntN(4)
			h.cfg.Client = slowRefusals{h.cfg.Client, time.Duration(r.IntN(600)) * time.Millisecond, time.Duration(r.IntN(310)) * time.Millisecond}
			h.relay = relay.New(h.cfg)
			changes, stop := context.WithCancel(t.Context())
			go h.changeSoundFaults(changes, rand.New(rand.NewPCG(seed, 2)))
			synctest.Wait()
			req := h.newRequest(0)
			_, cut := h.serve(req)
			early := time.Now().Before(req.Deadline)
			stop()
			time.Sleep(2 * time.Second) // until the faults don't change any more
			h.Expect(cut && early).To(BeFalse(), fmt.Sprint("seed ", seed))
		})
	}
}

// Its caller, who may reconnect, is told in time.
func TestAStreamThatLeftADeadEngineIsCutForLackOfRetries(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t)
		h.setFirstEngine(engineFaults{breakAfter: 7, unresponsive: true})
		for _, id := range []string{"i-1", "i-2"} {
			h.engines.faults[id] = engineFaults{refuses: true}
		}
		h.cfg.Client = slowRefusals{Client: h.cfg.Client, refusal: 400 * time.Millisecond}
		h.budget.most = 1
		h.relay = relay.New(h.cfg)
		startedAt := time.Now()
		_, cut := h.serve(h.newRequest(0))
		h.Expect(cut).To(BeTrue())
		h.Expect(time.Since(startedAt)).To(BeNumerically("<", 4*time.Second))
	})
}
