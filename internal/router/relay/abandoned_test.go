package relay_test

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
)

// serveFor answers a request whose caller leaves after a time.
func (h *harness) serveFor(wait time.Duration, session string) *httptest.ResponseRecorder {
	ctx, leave := context.WithTimeoutCause(context.Background(), wait, context.Canceled)
	defer leave()
	res := httptest.NewRecorder()
	h.relay.Serve(res, ctx, h.newRequestOf(session, "system", "doc"), &h.service)
	return res
}

// restartEngines starts the engines that have ended, as other incarnations.
func (h *harness) restartEngines() {
	h.engines.start()
	h.started++
	h.setServers(nil)
}

// Guards against a stream that crashes one engine after the other and is never suspected, as its
// callers leave before each crash.
func TestAStreamWhoseCallersLeaveBeforeItCrashesEnginesIsRefused(t *testing.T) {
	for _, left := range []time.Duration{1, 30, 300, 1500} { // ms before the crash
		t.Run(fmt.Sprintf("%d ms before", left), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				h := newHarness(t)
				h.engines.deadlySession, h.engines.deadlyAfter = "deadly", 30*time.Millisecond+left*time.Millisecond
				for range 8 {
					h.serveFor(30*time.Millisecond, "deadly")
					time.Sleep(3 * time.Second)
					h.restartEngines()
				}
				h.Expect(h.engines.crashes()).To(Equal(3))
				h.Expect(h.serveFor(time.Minute, "deadly").Code).To(Equal(http.StatusServiceUnavailable))
				h.Expect(h.serveFor(time.Minute, "sound").Code).To(Equal(http.StatusOK))
			})
		})
	}
}

// Guards against a stream that is never suspected since each engine that it crashes was left as
// silent before.
func TestAStreamThatCrashesEnginesAfterTheyWereLeftAsSilentIsRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t)
		h.engines.deadlySession, h.engines.deadlyAfter = "deadly", 1500*time.Millisecond
		for i := range 3 {
			h.engines.pauseReplies(fmt.Sprintf("i-%d", i), time.Hour)
		}
		for range 4 {
			h.serveFor(8*time.Second, "deadly")
			time.Sleep(3 * time.Second)
			h.restartEngines()
		}
		h.Expect(h.engines.crashes()).To(BeNumerically("<=", 4))
		h.Expect(h.serveFor(time.Minute, "deadly").Code).To(Equal(http.StatusServiceUnavailable))
	})
}
