package relay_test

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"

	. "github.com/onsi/gomega"

	"wisteriafield/internal/backend/server"
	"wisteriafield/internal/router/relay"
)

// repeatCounter counts the dispatches that allow the client to send the request again.
type repeatCounter struct {
	relay.Client
	repeatable atomic.Int64
}

func (c *repeatCounter) Send(ctx context.Context, d server.Dispatch) (*server.Answer, error) {
	if d.MayRepeat != nil {
		c.repeatable.Add(1)
	}
	return c.Client.Send(ctx, d)
}

// Guards against a stream that can't be resumed on a kept connection, whose end would not tell
// whether it has run.
func TestOnlyResumableStreamsMayBeSentAgain(t *testing.T) {
	for resumable, want := range map[bool]int{true: 1, false: 0} {
		synctest.Test(t, func(t *testing.T) {
			h := newHarness(t)
			h.route.Resumable = resumable
			counter := &repeatCounter{Client: h.cfg.Client}
			h.cfg.Client = counter
			h.relay = relay.New(h.cfg)
			_, cut := h.serve(h.newRequest(0))
			h.Expect(cut).To(BeFalse())
			h.Expect(counter.repeatable.Load()).To(BeEquivalentTo(want))
		})
	}
}
