package relay_test

import (
	"fmt"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"wisteriafield/internal/backend/server"
)

// limitEngines gives each engine a limit, and serves a stream at each until it is known.
func (h *harness) limitEngines(limit float64) {
	for i := range 3 {
		h.engines.faults[fmt.Sprintf("i-%d", i)] = engineFaults{limit: limit}
	}
	for i := range 12 {
		h.serve(h.newRequestOf(fmt.Sprintf("warm-%d", i), "system"))
	}
}

// Engines that named a limit got streams, retries and resumed streams as before.
func TestEnginesGetNoMoreStreamsThanTheLimitsThatTheyName(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t)
		h.limitEngines(0.5)
		before := len(h.engines.dispatched())
		startedAt := time.Now()
		refused := 0
		for i := range 40 {
			res, _ := h.serve(h.newRequestOf(fmt.Sprintf("own-%d", i), "system"))
			if res.Code == http.StatusServiceUnavailable {
				refused++
				h.Expect(res.Header().Get("Retry-After")).NotTo(BeEmpty())
				time.Sleep(200 * time.Millisecond)
			}
		}
		seconds := time.Since(startedAt).Seconds()
		h.Expect(refused).To(BeNumerically(">", 10))
		h.Expect(float64(len(h.engines.dispatched()) - before)).To(BeNumerically("<=", 3*(0.5*seconds+1)))
	})
}

// A backup at an engine that may get no more requests is of no use.
func TestBackupsAreKeptByEnginesWithoutALimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t)
		h.engines.faults["i-1"] = engineFaults{limit: 5}
		h.limits.ObserveAnswer(&h.servers.Get("i-1").Server, &server.Answer{Limited: true, RateLimit: 5}, time.Now())
		for i := range 10 {
			h.serve(h.newRequestOf(fmt.Sprintf("own-%d", i), "system"))
		}
		for _, d := range h.engines.dispatched() {
			h.Expect(d.BackupServer.ID).NotTo(Equal("i-1"))
		}
	})
}

// Few routers hold a part of a limit, and what they do not use nobody does. On a large fleet
// the engines without a limit were overloaded while those with one were idle.
func TestStreamsGoToLimitedEnginesWhileTheirLimitsAllowIt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t)
		for i := range 2 {
			id := fmt.Sprintf("i-%d", i)
			h.engines.faults[id] = engineFaults{limit: 0.2}
			h.limits.ObserveAnswer(&h.servers.Get(id).Server, &server.Answer{Limited: true, RateLimit: 0.2}, time.Now())
		}
		startedAt := time.Now()
		for i := range 40 {
			h.serve(h.newRequestOf(fmt.Sprintf("own-%d", i), "system"))
			time.Sleep(500 * time.Millisecond)
		}
		atLimited := 0
		for _, id := range h.engines.sentTo() {
			if id != "i-2" {
				atLimited++
			}
		}
		h.Expect(float64(atLimited)).To(BeNumerically(">=", 2*0.2*time.Since(startedAt).Seconds()-2))
	})
}

func TestABusyEngineIsNotPreferredForTheLimitThatItNames(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t)
		h.engines.faults["i-0"] = engineFaults{limit: 5}
		h.limits.ObserveAnswer(&h.servers.Get("i-0").Server, &server.Answer{Limited: true, RateLimit: 5}, time.Now())
		for i := range 2 { // the second one when the router knows its peers
			h.serve(h.newRequestOf(fmt.Sprintf("first-%d", i), "system"))
			time.Sleep(10 * time.Second)
		}
		before := len(h.engines.sentTo())
		var streams sync.WaitGroup
		for i := range 9 {
			streams.Go(func() { h.serve(h.newRequestOf(fmt.Sprintf("own-%d", i), "system")) })
			time.Sleep(20 * time.Millisecond)
		}
		streams.Wait()
		atLimited := 0
		for _, id := range h.engines.sentTo()[before:] {
			if id == "i-0" {
				atLimited++
			}
		}
		h.Expect(atLimited).To(BeNumerically("<=", 6), "two thirds")
	})
}
