package relay_test

import (
	"testing"
	"testing/synctest"

	. "github.com/onsi/gomega"
)

// In a large fleet a router hears of the others' work too late. Found on grown
// Scordia quiet-1: prompts waited for each other at some engines while others idled.
func TestInALargeFleetEnginesAreAskedForTheirWork(t *testing.T) {
	for name, busy := range map[string]fate{
		"prompts of other routers wait": {waiting: 3},
		"it does not answer":            {dark: true},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := newWorld(t)
				w.loadsUnknown = true
				w.engines.fate["i-0"], w.engines.fate["i-1"] = busy, busy
				res, cut := w.serve(w.request(0))
				w.Expect(cut).To(BeFalse())
				w.Expect(res.Body.String()).To(Equal(events(1, 20)))
				w.Expect(w.engines.sentTo()).To(Equal([]string{"i-2"}))
			})
		})
	}
}

func TestWhereAllWorkIsKnownNoEngineIsAsked(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t)
		_, cut := w.serve(w.request(0))
		w.Expect(cut).To(BeFalse())
		w.Expect(w.engines.reports).To(BeZero())
	})
}
