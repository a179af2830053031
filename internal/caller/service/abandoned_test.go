package service

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	backend "wisteriafield/internal/backend/service"
	"wisteriafield/internal/caller/apierror"
	"wisteriafield/internal/config/document"
	"wisteriafield/internal/decision/storehistory"
)

const (
	// waitTime is how long a call lasts until its caller leaves or its time is up. The servers end
	// 60 ms after they got it.
	waitTime = 20 * time.Millisecond
	// callInterval is longer than the time to the first check of a server.
	callInterval = time.Second
)

// Guards against a call that crashes one server after the other and is never suspected, as its
// caller leaves before each crash.
func TestALookupWhoseCallersLeaveBeforeItCrashesServersIsRefused(t *testing.T) {
	g := NewWithT(t)
	h, s, crashes := deadlyService(t, 8)
	view := document.NewView(&document.Document{Policy: document.Policy{HedgeAfter: time.Minute}}, storehistory.Position{Revision: 1}, "")
	lookUpFor := func(wait time.Duration) *httptest.ResponseRecorder {
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		defer cancel()
		defer time.AfterFunc(wait, cancel).Stop()
		w := httptest.NewRecorder()
		h.serveIdempotent(ctx, w, view, scordia, s, backend.Call{Method: http.MethodGet, Target: "/deadly", Header: make(http.Header)})
		return w
	}
	for range 6 {
		lookUpFor(waitTime)
		time.Sleep(callInterval)
	}
	g.Expect(crashes.Load()).To(BeNumerically("<=", 4))
	w := lookUpFor(5 * time.Second)
	g.Expect(w.Code).To(Equal(http.StatusServiceUnavailable))
	g.Expect(w.Body.String()).To(ContainSubstring(string(apierror.NotRun)))
	g.Expect(lookUp(h, scordia, s, "/sound").Code).To(Equal(http.StatusOK))
}

// Guards against a booking that crashes servers after its time is up, and is never suspected.
func TestABookingWhoseTimeIsUpBeforeItCrashesServersIsRefused(t *testing.T) {
	g := NewWithT(t)
	h, s, crashes := deadlyService(t, 8)
	send := func() error {
		ctx, cancel := context.WithTimeout(t.Context(), waitTime)
		defer cancel()
		req := nonIdempotentRequest{Organisation: scordia.Name, Service: s, Call: backend.Call{Method: http.MethodPost, Target: "/deadly", Header: make(http.Header)}}
		_, err := h.sendNonIdempotent(ctx, req)
		return err
	}
	for range 6 {
		_ = send()
		time.Sleep(callInterval)
	}
	g.Expect(crashes.Load()).To(BeNumerically("<=", 4))
	_, blocked := blockedUntil(send())
	g.Expect(blocked).To(BeTrue())
}
