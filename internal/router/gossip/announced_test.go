package gossip_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"wisteriafield/internal/router/gossip"
)

func TestARouterKnowsSinceWhenItsConfigurationIsNotTheNewest(t *testing.T) {
	runRouters(t, 2, func(g *WithT, net *network, all []*router) {
		net.mu.Lock()
		net.failing = map[string]bool{gossip.MethodConfig: true}
		net.mu.Unlock()
		start := time.Now()
		for version := range int64(3) {
			all[0].SetConfig([]byte{byte('1' + version)}, "store")
			all[0].gossip.Trigger()
			time.Sleep(100 * time.Millisecond)
			g.Expect(all[1].gossip.Announced()).To(Equal(gossip.Announcement{Version: 1 + version, Peer: "router-0", BehindSince: start}))
		}
		all[1].SetConfig([]byte("3"), "store")
		time.Sleep(100 * time.Millisecond)
		start = time.Now()
		all[0].SetConfig([]byte("4"), "store")
		all[0].gossip.Trigger()
		time.Sleep(100 * time.Millisecond)
		g.Expect(all[1].gossip.Announced().BehindSince).To(Equal(start))
		all[1].SetConfig([]byte("4"), "store")
		time.Sleep(time.Second) // ends the fetch
	})
}
