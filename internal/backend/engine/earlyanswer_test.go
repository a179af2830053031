package engine_test

import (
	"context"
	"strings"
	"testing"

	. "github.com/onsi/gomega"

	"wisteriafield/internal/backend/engine"
	"wisteriafield/internal/trial/truncate"
)

// The refusal of an engine that did not read the whole prompt was lost if a write failed first.
func TestARefusalOfAPartOfAPromptIsNotLost(t *testing.T) {
	g := NewWithT(t)
	address := truncate.NewEarlyServer(t, "HTTP/1.1 503 Busy\r\nContent-Length: 4\r\n\r\nbusy", truncate.Reset)
	for range 200 {
		_, err := engine.New("").Generate(context.Background(), address, engine.Request{Prompt: strings.Repeat("x", 55<<10)})
		g.Expect(err).To(MatchError(engine.ErrRefused))
	}
}

// The order was not read as a whole, and counted as carried out.
func TestAnOrderWhoseAnswerAResetEndsIsNoSuccess(t *testing.T) {
	g := NewWithT(t)
	order := engine.Order{Fencing: 7, Role: strings.Repeat("x", 4<<20)}
	for _, end := range []truncate.End{truncate.Reset, truncate.LateReset} {
		address := truncate.NewEarlyServer(t, "HTTP/1.1 200 OK\r\n\r\n{", end)
		for range 20 {
			g.Expect(engine.New("").SendOrder(context.Background(), address, order)).NotTo(Succeed(), string(end))
		}
	}
}

// A refusal was lost if the write of the order failed first.
func TestARefusalOfAPartOfAnOrderIsNotLost(t *testing.T) {
	g := NewWithT(t)
	address := truncate.NewEarlyServer(t, "HTTP/1.1 412 Precondition Failed\r\nContent-Length: 6\r\n\r\nfenced", truncate.Reset)
	order := engine.Order{Fencing: 7, Role: strings.Repeat("x", 55<<10)}
	for range 200 {
		g.Expect(engine.New("").SendOrder(context.Background(), address, order)).To(MatchError(engine.ErrFenced))
	}
}
