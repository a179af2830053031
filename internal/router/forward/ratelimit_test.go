package forward_test

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"strconv"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"wisteriafield/internal/backend/server"
	"wisteriafield/internal/config/routes"
)

// limited answers faster than the others and names a limit in requests a second.
func limited(limit float64) func(context.Context) (*server.Answer, error) {
	return func(context.Context) (*server.Answer, error) {
		time.Sleep(5 * time.Millisecond)
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
		startedAt := time.Now()
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
		g.Expect(atLimited).To(BeNumerically("<=", int(2*time.Since(startedAt).Seconds())+5))
		g.Expect(atLimited).To(BeNumerically(">=", 20), "the limit is used")
	})
}

// Requests that no server may get now were sent all the same.
func TestRequestThatNoLimitAllowsIsRefusedUntilTheNextOne(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		s := &fakeService{responses: map[string]func(context.Context) (*server.Answer, error){"i-0": limited(2), "i-1": limited(2)}}
		send := newForwarder(s, 2)
		refused := 0
		for range 200 {
			res := send(routes.Idempotent, 2, "")
			if res.Code == http.StatusOK {
				time.Sleep(50 * time.Millisecond)
				continue
			}
			refused++
			g.Expect(res.Code).To(Equal(http.StatusServiceUnavailable))
			seconds, err := strconv.ParseFloat(res.Header().Get("Retry-After"), 64)
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(seconds).To(BeNumerically("<=", 0.5))
			time.Sleep(time.Duration(seconds*1000+100) * time.Millisecond)
			g.Expect(send(routes.NonIdempotent, 1, "").Code).To(Equal(http.StatusOK), "when the refusal said")
		}
		g.Expect(refused).To(BeNumerically(">", 20))
	})
}

// A limit that is no longer named must not hold requests back.
func TestLimitThatIsNoLongerNamedIsGone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		s := &fakeService{responses: map[string]func(context.Context) (*server.Answer, error){"i-0": limited(1)}}
		send := newForwarder(s, 1)
		for send(routes.Idempotent, 2, "").Code == http.StatusOK {
		}
		delete(s.responses, "i-0")
		time.Sleep(time.Second)
		for range 20 {
			g.Expect(send(routes.Idempotent, 2, "").Code).To(Equal(http.StatusOK))
		}
	})
}
