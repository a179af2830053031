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

// An answer with a status of 000 or 999, or of HTTP/3.0, was passed on to the caller.
func TestAServicesAnswerWithAnInvalidStatusLineIsLost(t *testing.T) {
	g := NewWithT(t)
	s := truncate.NewServer(t)
	lines := append(truncate.InvalidStatusLines(), truncate.MalformedStatusLines()...)
	lines = append(lines, "HTTP/1.1 101 Switching Protocols") // nobody asked for it
	for i, line := range lines {
		s.Set(truncate.Sized(line, "", "booked"), truncate.Close)
		_, err := service.New(answermemory.New(16<<20)).Do(context.Background(), s.Address, service.Call{Method: http.MethodPost, Target: "/bookings", Header: http.Header{}, Body: []byte("{}")})
		g.Expect(err).To(MatchError(service.ErrLost), line)
		g.Expect(s.Requests()).To(Equal(i+1), "no call is made twice")
	}
}
