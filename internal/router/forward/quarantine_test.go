package forward_test

import (
	"context"
	"fmt"
	"net/http"
	"testing"
	"testing/synctest"

	. "github.com/onsi/gomega"

	"wisteriafield/internal/backend/server"
	"wisteriafield/internal/config/routes"
)

// Retries and later requests went to the same two servers again and again.
func TestPromptPartThatCrashesServersIsRefusedBeforeItsNextAttempt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		s := &fakeService{gone: true, responses: make(map[string]func(context.Context) (*server.Answer, error))}
		for i := range 5 {
			s.responses[fmt.Sprintf("i-%d", i)] = truncateAnswer
		}
		send := newForwarder(s, 5)
		g.Expect(send(routes.Idempotent, 2, "deadly").Code).To(Equal(http.StatusBadGateway))
		g.Expect(s.sentTo).To(HaveLen(2))
		g.Expect(send(routes.Idempotent, 4, "deadly").Code).To(Equal(http.StatusBadGateway))
		g.Expect(len(s.sentTo)).To(BeNumerically("<=", 4), "its retries stop, too")
		attempts := len(s.sentTo)
		res := send(routes.NonIdempotent, 1, "deadly")
		g.Expect(res.Code).To(Equal(http.StatusServiceUnavailable))
		g.Expect(res.Header().Get("Retry-After")).To(Equal("300.00"))
		g.Expect(s.sentTo).To(HaveLen(attempts))
		s.responses = nil
		g.Expect(send(routes.Idempotent, 2, "sound").Code).To(Equal(http.StatusOK))
	})
}
