package front_test

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
)

// Callers that came back 100 ms after all routers had been killed were refused, which was their
// last retry, and the configuration arrived a second later.
func TestARequestWaitsForTheFirstConfigurationWithinAPartOfItsTime(t *testing.T) {
	for name, c := range map[string]struct {
		left, comesAfter time.Duration
		status           int
		took             time.Duration
	}{
		"comes in time":       {16 * time.Second, time.Second, http.StatusOK, time.Second},
		"comes too late":      {16 * time.Second, 3 * time.Second, http.StatusServiceUnavailable, 2 * time.Second},
		"too late for a call": {800 * time.Millisecond, time.Second, http.StatusServiceUnavailable, 100 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				h := newTestHandler()
				table := h.table
				h.table = nil
				start := time.Now()
				time.AfterFunc(c.comesAfter, func() { h.setTable(table) })
				w := h.post("/draft/1", "k", "x", "Left", c.left.String())
				g.Expect(w.Code).To(Equal(c.status))
				g.Expect(time.Since(start)).To(BeNumerically("~", c.took, 25*time.Millisecond))
				if c.status == http.StatusOK {
					g.Expect(h.served).To(Equal([]string{"stream florist engines x"}))
				}
				g.Expect(h.memory.Used()).To(BeZero())
				synctest.Wait()
				time.Sleep(c.comesAfter)
			})
		})
	}
}

// Bodies that are read before a configuration is there count toward the memory of bodies.
func TestABodyWithoutRoomIsRefusedWithoutAConfiguration(t *testing.T) {
	g := NewWithT(t)
	h := newTestHandler()
	h.table = nil
	r := httptest.NewRequest(http.MethodPost, "http://h/draft/1", io.LimitReader(endless{}, 2*requestMemoryBytes))
	r.Header.Set("Left", "16s")
	w := httptest.NewRecorder()
	h.handler.ServeHTTP(w, r)
	g.Expect(w.Code).To(Equal(http.StatusServiceUnavailable))
	g.Expect(h.memory.Used()).To(BeZero())
	g.Expect(strings.TrimSpace(w.Header().Get("Retry-After"))).NotTo(BeEmpty())
}

// endless reads bytes without end.
type endless struct{}

func (endless) Read(p []byte) (int, error) { return len(p), nil }
