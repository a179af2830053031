package forward_test

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"wisteriafield/internal/backend/server"
	"wisteriafield/internal/config/routes"
)

// limited answers at once and names a limit in requests a second.
func limited(limit float64) func(context.Context) (*server.Answer, error) {
	return func(context.Context) (*server.Answer, error) {
		body := io.NopCloser(bytes.NewBufferString("booked"))
		return &server.Answer{Status: http.StatusOK, Signed: true, Limited: true, RateLimit: limit, Body: body}, nil
	}
}

// A server that named a limit got as many requests as the others.
func TestServerGetsNoMoreRequestsThanTheLimitThatItNames(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		s := &fakeService{responses: map[string]func(context.Context) (*server.Answer, error){"i-0": limited(2)}}
		send := newForwarder(s, 2)
		for range 20 * 20 {
			g.Expect(send(routes.Idempotent, 2, "").Code).To(Equal(http.StatusOK), "the other server has no limit")
			time.Sleep(50 * time.Millisecond)
		}
		atLimited := 0
		for _, id := range s.sentTo {
			if id == "i-0" {
				atLimited++
			}
		}
		g.Expect(atLimited).To(BeNumerically("<=", 20*2+5))
		g.Expect(atLimited).To(BeNumerically(">=", 20), "the limit is used")
	})
}
