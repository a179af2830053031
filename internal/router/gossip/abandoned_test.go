package gossip_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"wisteriafield/internal/backend/server"
)

// Guards against a call that each router sees crash one server, after its caller left, and that no
// router refuses; and against peers that take servers lost at about the same time for its doing.
func TestCrashesAfterCallersLeftBlockACallAtAllRouters(t *testing.T) {
	for name, inTurn := range map[string]bool{"one after the other": true, "together": false} {
		t.Run(name, func(t *testing.T) {
			runRouters(t, 6, func(g *WithT, _ *network, all []*router) {
				call := &server.Request{ID: "c", Target: "/rate", Deadline: time.Now().Add(time.Minute)}
				call.SetDigest()
				for i := range 3 {
					all[i].quarantine.AttemptAbandoned(call, &server.Server{ID: fmt.Sprintf("e-%d", i)}, 0)
					pause := 100 * time.Millisecond
					if inTurn {
						all[i].serversEnded.Store(true)
						pause = 700 * time.Millisecond
					}
					time.Sleep(pause)
				}
				for _, r := range all {
					r.serversEnded.Store(true)
				}
				time.Sleep(3 * time.Second)
				for i, r := range all {
					_, refused := r.quarantine.Refuses(call)
					g.Expect(refused).To(Equal(inTurn), "router %d", i)
				}
			})
		})
	}
}
