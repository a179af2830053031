package relay_test

import (
	"testing"
	"testing/synctest"

	. "github.com/onsi/gomega"
)

// A stream without a length or chunks counted as lost at its end, and was sent to one
// engine after the other.
func TestStreamThatEndsWithItsConnection(t *testing.T) {
	for _, c := range []struct {
		name     string
		fault    engineFaults
		attempts int
	}{
		{"whole", engineFaults{closeDelimited: true}, 1},
		{"closed within an event", engineFaults{closeDelimited: true, closesAfter: 7, cutsEvent: true}, 2},
		{"reset between events", engineFaults{closeDelimited: true, breakAfter: 7}, 2},
		{"closed between events by an engine that died", engineFaults{closeDelimited: true, closesAfter: 7, unresponsive: true}, 2},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				h := newHarness(t)
				h.setFirstEngine(c.fault)
				res, cut := h.serve(h.newRequest(0))
				h.Expect(cut).To(BeFalse())
				h.Expect(res.Body.String()).To(Equal(eventText(1, 20)))
				h.Expect(h.engines.dispatched()).To(HaveLen(c.attempts))
			})
		})
	}
}
