package relay_test

import (
	"fmt"
	"net/http"
	"testing"
	"testing/synctest"

	. "github.com/onsi/gomega"

	"wisteriafield/internal/backend/server"
)

// Callers take these statuses as a promise that their request has not run and never will.
func TestAServersStatusIsNoPromiseUnlessItStatesThatItDidNotRun(t *testing.T) {
	for _, status := range []int{http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable} {
		t.Run(fmt.Sprint(status), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				h := newHarness(t)
				h.route.Resumable, h.route.MaxAttempts = false, 1
				h.setFirstEngine(engineFaults{answer: &server.Answer{Status: status, Signed: true}, answerBody: "too many"})
				res, cut := h.serve(h.newRequest(0))
				h.Expect(cut).To(BeFalse())
				h.Expect(res.Code).To(Equal(http.StatusBadGateway))
				h.Expect(h.engines.dispatched()).To(HaveLen(1))
			})
		})
	}
}
