package gossip_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"wisteriafield/internal/backend/server"
)

// Each router that had not been told a limit by the server itself knew none.
func TestALimitAndItsEndReachAllRouters(t *testing.T) {
	for _, n := range []int{6, 30} {
		runRouters(t, n, func(g *WithT, _ *network, all []*router) {
			s := &server.Server{ID: "e-1", Started: 7, Service: "engines"}
			limited := func() (routers int) {
				for _, r := range all {
					if r.limits.Limited(s, time.Now()) {
						routers++
					}
				}
				return routers
			}
			all[1].limits.ObserveAnswer(s, &server.Answer{Limited: true, RateLimit: 2}, time.Now())
			time.Sleep(3 * time.Second)
			g.Expect(limited()).To(Equal(n))
			sent := 0
			for range 100 {
				for _, r := range all {
					if r.limits.Take(s) {
						sent++
					}
				}
				time.Sleep(100 * time.Millisecond)
			}
			g.Expect(sent).To(BeNumerically("~", 2*10, 5+5), "in 10 s by all of %d", n)
			all[2].limits.ObserveAnswer(s, &server.Answer{}, time.Now())
			time.Sleep(3 * time.Second)
			g.Expect(limited()).To(BeZero())
		})
	}
}
