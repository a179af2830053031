package service_test

import (
	"context"
	"net/http"
	"testing"

	. "github.com/onsi/gomega"

	"wisteriafield/internal/backend/service"
	"wisteriafield/internal/decision/answermemory"
	"wisteriafield/internal/trial/truncate"
)

// A reset that a write reports looked like the end of an answer without a length.
func TestAServicesAnswerThatAResetEndsIsLost(t *testing.T) {
	g := NewWithT(t)
	address := truncate.NewEarlyServer(t, "HTTP/1.1 200 OK\r\n\r\nboo", truncate.Reset)
	late := truncate.NewEarlyServer(t, "HTTP/1.1 200 OK\r\n\r\nboo", truncate.LateReset)
	call := service.Call{Method: http.MethodPost, Target: "/bookings", Header: http.Header{}, Body: make([]byte, 4<<20)}
	for range 200 {
		_, err := service.New(answermemory.New(16<<20)).Do(context.Background(), address, call)
		g.Expect(err).To(MatchError(service.ErrLost))
	}
	for range 10 {
		_, err := service.New(answermemory.New(16<<20)).Do(context.Background(), late, call)
		g.Expect(err).To(MatchError(service.ErrLost))
	}
}

// The answer of a service that did not read the whole call was lost if a write failed first.
func TestAServicesAnswerToAPartOfACallIsNotLost(t *testing.T) {
	g := NewWithT(t)
	address := truncate.NewEarlyServer(t, "HTTP/1.1 503 Busy\r\nContent-Length: 4\r\n\r\nbusy", truncate.Reset)
	call := service.Call{Method: http.MethodPost, Target: "/bookings", Header: http.Header{}, Body: make([]byte, 55<<10)}
	for range 200 {
		answer, err := service.New(answermemory.New(16<<20)).Do(context.Background(), address, call)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect([]any{answer.Status, string(answer.Body)}).To(Equal([]any{503, "busy"}))
		answer.Release()
	}
}
