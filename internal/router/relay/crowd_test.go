package relay_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"wisteriafield/internal/backend/server"
	"wisteriafield/internal/decision/retrybudget"
	"wisteriafield/internal/router/relay"
)

// goneEngines is a client of engines that are gone once they have broken off.
type goneEngines struct{ relay.Client }

func (goneEngines) Listens(context.Context, string) (bool, error) { return false, nil }

// noQuarantine blames no request: the engines end as planned.
type noQuarantine struct{ relay.Quarantine }

func (noQuarantine) ServerLost(*server.Request, *server.Server, int) {}

func (noQuarantine) ServerLostUnanswered(*server.Request, *server.Server) {}

// lastWrite is an answer that knows when it was last written to.
type lastWrite struct {
	*httptest.ResponseRecorder
	at time.Time
}

func (w *lastWrite) Write(p []byte) (int, error) {
	w.at = time.Now()
	return w.ResponseRecorder.Write(p)
}

// randomPlannedFaults are silences of sound engines, refusals and planned ends.
func randomPlannedFaults(r *rand.Rand) engineFaults {
	switch r.IntN(8) {
	case 0:
		return engineFaults{breakAfter: 1 + r.IntN(20)}
	case 1:
		return engineFaults{losesConnection: true}
	default:
		return randomSoundFaults(r)
	}
}

func (h *harness) changePlannedFaults(ctx context.Context, r *rand.Rand) {
	for ctx.Err() == nil {
		h.engines.setFaults(map[string]engineFaults{"i-0": randomPlannedFaults(r), "i-1": randomPlannedFaults(r), "i-2": randomPlannedFaults(r)})
		time.Sleep(time.Duration(300+r.IntN(1000)) * time.Millisecond)
	}
}

// serveOneOfMany serves a stream and returns what is wrong with its end.
func (h *harness) serveOneOfMany(budget *retrybudget.Budget, i int) (problem string) {
	req := h.newRequest(0)
	req.ID = fmt.Sprintf("r-%d", i)
	budget.RecordFirstAttempt("engines", time.Now())
	w := &lastWrite{httptest.NewRecorder(), time.Now()}
	defer func() {
		cut := recover() != nil
		until := w.at.Add(h.route.StreamPatience())
		if req.Deadline.Before(until) {
			until = req.Deadline
		}
		left := time.Until(until)
		switch {
		case left < 500*time.Millisecond || w.Code != http.StatusOK:
		case cut && !retryExpected(budget, until.Add(-500*time.Millisecond)):
		case cut:
			problem = fmt.Sprintf("%s cut, %v left", req.ID, left)
		case strings.Count(w.Body.String(), "id: ") != h.engines.eventCount:
			problem = req.ID + " incomplete"
		}
	}()
	h.relay.Serve(w, context.Background(), req, &h.service)
	return ""
}

// retryExpected reports whether the budget foretells a retry before a time.
func retryExpected(budget *retrybudget.Budget, until time.Time) bool {
	next := budget.NextAt("engines", time.Now())
	return !next.IsZero() && next.Before(until)
}

// Streams of one router beside silences of sound engines and planned ends. Those that
// have not begun may fail.
func TestNoneOfManyStreamsIsCutWhileARetryComesBeforeItsCallerLeaves(t *testing.T) {
	var all []string
	for seed := range uint64(100) {
		synctest.Test(t, func(t *testing.T) {
			r := rand.New(rand.NewPCG(seed, 1))
			h := newHarness(t)
			h.patientCallers()
			h.engines.eventCount, h.engines.gap = 60, 50*time.Millisecond
			h.route.MaxAttempts = 3 + r.IntN(3)
			budget := retrybudget.New(retrybudget.Config{Ratio: 0.56, Slack: 1.4, Window: 10 * time.Second, Routers: func() int { return 1 }}, time.Now().Add(-time.Minute))
			h.cfg.RetryBudget = budget
			h.cfg.Client = goneEngines{slowRefusals{h.cfg.Client, time.Duration(r.IntN(300)) * time.Millisecond, 0}}
			h.cfg.Quarantine = noQuarantine{h.cfg.Quarantine}
			h.relay = relay.New(h.cfg)
			changes, stop := context.WithCancel(t.Context())
			go h.changePlannedFaults(changes, rand.New(rand.NewPCG(seed, 2)))
			var streams sync.WaitGroup
			problems := make([]string, 24)
			for i := range problems {
				streams.Go(func() { problems[i] = h.serveOneOfMany(budget, i) })
				time.Sleep(time.Duration(r.IntN(2000)) * time.Millisecond)
			}
			streams.Wait()
			stop()
			time.Sleep(2 * time.Second)
			var reasons []string
			for _, e := range h.hook.AllEntries() {
				if e.Message == "stream abandoned" || e.Message == "request refused" {
					reasons = append(reasons, fmt.Sprint(e.Data["id"], " ", e.Data["reason"], " begun ", e.Data["begun"], " left ", e.Data["leftMs"], " ran ", e.Data["ran"]))
				}
			}
			if found := strings.Join(problems, " "); strings.TrimSpace(found) != "" {
				all = append(all, fmt.Sprint("seed ", seed, ": ", found, reasons))
			}
		})
	}
	NewWithT(t).Expect(all).To(BeEmpty())
}
