package edge

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"wisteriafield/internal/config/routes"
	"wisteriafield/internal/router/gossip"
)

func TestARouterThatStartsServesNobodyBeforeItKnowsTheFleetsBlocks(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		e, _ := newCallerSide(nil)
		e.cfg.PeerAddress = "10.0.0.1:1"
		e.gossip = gossip.New(gossip.Config{})
		e.routeTable.Store(routes.NewTable(routes.Config{Version: 1}))
		e.serversLoaded.Store(true)
		ready := func() int {
			res := httptest.NewRecorder()
			e.handleReadiness(res, nil)
			return res.Code
		}
		start := time.Now()
		g.Expect(ready()).To(Equal(http.StatusServiceUnavailable))
		g.Expect(e.callersTable()).NotTo(BeNil(), "a request waits")
		g.Expect(time.Since(start)).To(Equal(100*time.Millisecond), "no peer answers")
		g.Expect(ready()).To(Equal(http.StatusOK))
	})
}
