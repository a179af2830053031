package relay_test

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"testing"
	"testing/iotest"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"wisteriafield/internal/backend/liveness"
	"wisteriafield/internal/backend/server"
)

// Guards against a stream that crashes one engine after the other and is never suspected, as something
// else accepts connections at their addresses, whether its callers stay or leave.
func TestAStreamThatCrashesEnginesWhoseAddressesAcceptConnectionsIsRefused(t *testing.T) {
	for name, closes := range map[string]bool{"and close them": true, "and hold them": false} {
		for _, wait := range []time.Duration{20 * time.Millisecond, time.Minute} {
			t.Run(fmt.Sprintf("%s, callers leave after %s", name, wait), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					h := newHarness(t)
					h.route.MaxAttempts = 1
					h.engines.deadlySession, h.engines.deadlyAfter = "deadly", 30*time.Millisecond
					h.engines.check = func(address string) (bool, error) {
						if closes && h.engines.isDown(address) {
							return false, fmt.Errorf("check: %w", liveness.ErrClosed)
						}
						return true, nil
					}
					for range 8 {
						h.serveFor(wait, "deadly")
						time.Sleep(2 * time.Second)
						h.restartEngines()
						time.Sleep(time.Second)
					}
					h.Expect(h.engines.crashes()).To(Equal(3))
					h.Expect(h.serveFor(time.Minute, "deadly").Code).To(Equal(http.StatusServiceUnavailable))
					h.Expect(h.serveFor(time.Minute, "sound").Code).To(Equal(http.StatusOK))
				})
			})
		}
	}
}

// Guards against a part of prompts that crashes engines after the heads of their answers and is never
// suspected, as something else holds connections at their addresses.
func TestAPartThatCrashesEnginesWhoseAddressesAcceptConnectionsIsRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t)
		h.route.MaxAttempts = 1
		h.engines.deadlyPart = "deadly"
		h.engines.check = func(string) (bool, error) { return true, nil }
		for i := range 6 {
			h.serve(h.newRequestOf(fmt.Sprintf("own-%d", i), "system", "deadly"))
			time.Sleep(2 * time.Second)
			h.restartEngines()
			time.Sleep(time.Second)
			res, _ := h.serve(h.newRequestOf(fmt.Sprintf("sound-%d", i), "system"))
			h.Expect(res.Code).To(Equal(http.StatusOK), "a sound request with the same first part")
		}
		res, _ := h.serve(h.newRequestOf("own-6", "system", "deadly"))
		h.Expect(res.Code).To(Equal(http.StatusServiceUnavailable))
	})
}

// Guards against a stream that crashes one engine after the other and is never suspected, as a proxy
// answers with a failure in the place of each.
func TestAStreamThatCrashesEnginesBehindAProxyIsRefused(t *testing.T) {
	for attempts := 1; attempts <= 2; attempts++ {
		t.Run(fmt.Sprintf("%d attempts", attempts), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				h := newHarness(t)
				h.route.MaxAttempts = attempts
				for i := range 3 {
					h.engines.faults[fmt.Sprintf("i-%d", i)] = engineFaults{answer: &server.Answer{Status: http.StatusBadGateway}}
				}
				for range 4 {
					h.serveFor(time.Minute, "deadly")
					time.Sleep(2 * time.Second)
					h.restartEngines()
					time.Sleep(time.Second)
				}
				h.Expect(len(h.engines.dispatched())).To(BeNumerically("<=", 4))
				h.Expect(h.serveFor(time.Minute, "deadly").Code).To(Equal(http.StatusServiceUnavailable))
			})
		})
	}
}

// Guards against a stream that crashes one engine after the other and is never suspected, as the engines
// answer with errors that break off, and something else accepts connections at their addresses.
func TestAStreamThatCrashesEnginesInTheirErrorsIsRefused(t *testing.T) {
	for _, accepts := range []bool{false, true} {
		t.Run(fmt.Sprintf("addresses accept connections: %t", accepts), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				h := newHarness(t)
				h.route.MaxAttempts = 1
				h.engines.check = func(string) (bool, error) { return accepts, nil }
				cut := io.NopCloser(iotest.ErrReader(errors.New("connection reset")))
				for i := range 3 {
					h.engines.faults[fmt.Sprintf("i-%d", i)] = engineFaults{answer: &server.Answer{Status: http.StatusInternalServerError, Signed: true, Body: cut}}
				}
				for range 8 {
					h.serveFor(time.Minute, "deadly")
					time.Sleep(2 * time.Second)
					h.restartEngines()
					time.Sleep(time.Second)
				}
				h.Expect(h.engines.dispatched()).To(HaveLen(3))
				h.Expect(h.serveFor(time.Minute, "deadly").Code).To(Equal(http.StatusServiceUnavailable))
			})
		})
	}
}
