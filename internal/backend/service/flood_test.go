package service_test

import (
	"context"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"wisteriafield/internal/backend/service"
	"wisteriafield/internal/decision/answermemory"
)

// Each call has a bound of its own, but once they had none together: a service that sends much
// and does not end took all of a router's memory.
func TestCallsOfAServiceThatDoesNotEndShareABound(t *testing.T) {
	g := NewWithT(t)
	const calls, answerBytes, limit = 64, 1 << 20, 8 << 20
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/sound" {
			_, _ = io.WriteString(w, "sound")
			return
		}
		_, _ = io.WriteString(w, strings.Repeat("x", answerBytes))
		_ = http.NewResponseController(w).Flush()
		<-r.Context().Done()
	}))
	t.Cleanup(s.Close)
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel) // before the server waits for them
	client := service.New(answermemory.New(limit))
	address := s.Listener.Addr().String()
	ended := make(chan error, calls)
	for range calls {
		go func() {
			err := service.ErrNotSent
			for ctx.Err() == nil && errors.Is(err, service.ErrNotSent) { // a busy host takes longer to connect
				_, err = client.Do(ctx, address, service.Call{Method: http.MethodGet, Target: "/endless", Header: http.Header{}})
			}
			ended <- err
		}()
	}
	for range calls - limit/answerBytes - 1 {
		g.Eventually(ended, 10*time.Second).Should(Receive(MatchError(service.ErrLost)))
	}
	answer, err := client.Do(ctx, address, service.Call{Method: http.MethodGet, Target: "/sound", Header: http.Header{}})
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(string(answer.Body)).To(Equal("sound"))
}

// Complete answers that are held were once not counted.
func TestAnswersThatAreHeldShareTheBound(t *testing.T) {
	g := NewWithT(t)
	const calls, answerBytes, limit = 64, 1 << 20, 8 << 20
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/sound" {
			_, _ = io.WriteString(w, "sound")
			return
		}
		_, _ = io.WriteString(w, strings.Repeat("x", answerBytes))
	}))
	t.Cleanup(s.Close)
	client := service.New(answermemory.New(limit))
	call := func(target string) (*service.Answer, error) {
		return client.Do(context.Background(), s.Listener.Addr().String(), service.Call{Method: http.MethodGet, Target: target, Header: http.Header{}})
	}
	var held []*service.Answer
	for range calls {
		answer, err := call("/large")
		if err != nil {
			g.Expect(err).To(MatchError(service.ErrLost))
			continue
		}
		g.Expect(answer.Body).To(HaveLen(answerBytes))
		held = append(held, answer)
	}
	g.Expect(len(held)).To(And(BeNumerically(">", 0), BeNumerically("<=", limit/answerBytes)))
	answer, err := call("/sound")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(string(answer.Body)).To(Equal("sound"))
	for _, answer := range held {
		answer.Release()
	}
	answer, err = call("/large")
	g.Expect(err).NotTo(HaveOccurred())
	answer.Release()
}
