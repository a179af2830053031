package relay_test

import (
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"wisteriafield/internal/backend/registry"
)

// Engines that had crashed were offered again after 2 s under their old incarnations, which stay
// listed for longer: 238 of 3,063 attempts on a calm day of 36 routers and 224 engines were rejected as misdirected.
func TestADeadEngineStaysDownWhileItIsListed(t *testing.T) {
	for name, c := range map[string]struct {
		faults map[string]engineFaults
		down   bool
	}{
		"still dead":   {map[string]engineFaults{"i-0": {unresponsive: true}}, true},
		"alive, after": {nil, false},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				h := newHarness(t)
				h.ownersOffer("i-0")
				h.engines.setFaults(map[string]engineFaults{"i-0": {unresponsive: true}})
				e := h.servers.Get("i-0")
				h.relay.CheckEngines([]*registry.Entry{e})
				time.Sleep(time.Second)
				h.Expect(e.Load.State(time.Now()).Down).To(BeTrue())
				h.engines.setFaults(c.faults)
				for range 8 {
					time.Sleep(250 * time.Millisecond)
				}
				h.Expect(e.Load.State(time.Now()).Down).To(Equal(c.down))
				time.Sleep(time.Minute)
				synctest.Wait()
				h.Expect(e.Load.State(time.Now()).Down).To(BeFalse(), "an engine that nobody takes off the list is not given up for good")
			})
		})
	}
}
