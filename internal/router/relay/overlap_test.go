package relay_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"wisteriafield/internal/backend/server"
	"wisteriafield/internal/router/relay"
)

// run is one attempt at an engine.
type run struct {
	server         string
	startAt, endAt time.Time
	sent, executed bool
}

// recorder records the attempts at engines.
type recorder struct {
	relay.Client
	mu   sync.Mutex
	runs []*run
}

func (c *recorder) Send(ctx context.Context, d server.Dispatch) (*server.Answer, error) {
	r := &run{server: d.Server.ID, startAt: time.Now(), sent: true, executed: true}
	c.mu.Lock()
	c.runs = append(c.runs, r)
	c.mu.Unlock()
	context.AfterFunc(ctx, func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		r.endAt = time.Now()
	})
	a, err := c.Client.Send(ctx, d)
	c.mu.Lock()
	defer c.mu.Unlock()
	r.sent = err == nil || ctx.Err() != nil
	r.executed = r.sent && (err != nil || !a.NotExecuted)
	return a, err
}

func randomFaults(r *rand.Rand) engineFaults {
	switch events := 1 + r.IntN(9); r.IntN(8) {
	case 0:
		return engineFaults{refuses: true}
	case 1:
		return engineFaults{breakAfter: events}
	case 2:
		return engineFaults{breakAfter: events, unresponsive: true}
	case 3, 4:
		return engineFaults{pauseAfter: events - 1, pause: time.Duration(200+r.IntN(3000)) * time.Millisecond, repliesInPause: r.IntN(2) == 0}
	case 5:
		return engineFaults{lostAttempt: true}
	case 6:
		return engineFaults{hangsAfter: events}
	default:
		return engineFaults{}
	}
}

// changeFaults gives the engines other faults now and then, until ctx ends.
func (h *harness) changeFaults(ctx context.Context, r *rand.Rand) {
	for ctx.Err() == nil {
		h.engines.setFaults(map[string]engineFaults{"i-0": randomFaults(r), "i-1": randomFaults(r), "i-2": randomFaults(r)})
		time.Sleep(time.Duration(300+r.IntN(1000)) * time.Millisecond)
	}
}

// loads returns the loads of the engines as this router knows them.
func (h *harness) loads() (loads []string) {
	for i := range 3 {
		st := h.servers.Get(fmt.Sprintf("i-%d", i)).Load.State(time.Now())
		loads = append(loads, fmt.Sprint(st.Running, st.QueuedTokens, st.UsedTokens))
	}
	return loads
}

// expectRuns checks the attempts of a stream that has ended.
func (h *harness) expectRuns(runs []*run, ended time.Time, why string) (executed int) {
	sent := 0
	for i, r := range runs {
		h.Expect(r.endAt).To(And(Not(BeZero()), BeTemporally("<=", ended)), why)
		if r.sent {
			sent++
		}
		if !r.executed {
			continue
		}
		executed++
		for _, next := range runs[i+1:] {
			if next.executed && next.server != r.server {
				h.Expect(r.endAt).To(BeTemporally("<=", next.startAt.Add(350*time.Millisecond)), why)
			}
		}
	}
	h.Expect(executed).To(BeNumerically("<=", h.route.MaxAttempts), why)
	h.Expect(sent).To(BeNumerically("<=", 1+h.budget.given-h.budget.returned), why)
	return executed
}

func TestStreamsOfEnginesThatFailAndFallSilentRunAsOftenAsAllowed(t *testing.T) {
	for seed := range uint64(1000) {
		synctest.Test(t, func(t *testing.T) {
			r := rand.New(rand.NewPCG(seed, 1))
			h := newHarness(t)
			h.setFirstEngine(engineFaults{})
			h.budget.most, h.engines.unreachable = r.IntN(5), r.IntN(3)
			h.service.Engine.SupportsBackups, h.route.Resumable = r.IntN(2) == 0, r.IntN(5) > 0
			if !h.route.Resumable {
				h.route.MaxAttempts = 1
			}
			rec := &recorder{Client: h.cfg.Client}
			h.cfg.Client = rec
			h.relay = relay.New(h.cfg)
			changes, stop := context.WithCancel(t.Context())
			go h.changeFaults(changes, rand.New(rand.NewPCG(seed, 2)))
			synctest.Wait()
			ctx, leave := context.WithCancel(t.Context())
			defer leave()
			if r.IntN(3) == 0 {
				time.AfterFunc(time.Duration(r.IntN(3000))*time.Millisecond, leave)
			}
			before := h.loads()
			req := h.newRequest(0)
			req.Deadline = time.Now().Add(time.Duration(3+r.IntN(12)) * time.Second)
			req.AnswerDeadline = req.Deadline.Add(-20 * time.Millisecond)
			res, cut := httptest.NewRecorder(), false
			func() {
				defer func() { cut = recover() != nil }()
				h.relay.Serve(res, ctx, req, &h.service)
			}()
			ended, left := time.Now(), ctx.Err() != nil
			synctest.Wait()
			why := fmt.Sprint("seed ", seed)
			h.Expect(h.loads()).To(Equal(before), why)
			executed := h.expectRuns(rec.runs, ended, why)
			switch {
			case res.Code == http.StatusServiceUnavailable:
				h.Expect(executed).To(Equal(0), why)
			case res.Code == http.StatusOK && !cut && !left:
				h.Expect(res.Body.String()).To(Equal(eventText(1, 20)), why)
			case res.Code == http.StatusOK:
				h.Expect(eventText(1, 20)).To(HavePrefix(res.Body.String()), why)
			}
			stop()
			time.Sleep(2 * time.Second) // until the faults don't change any more
		})
	}
}
