package gossip_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"wisteriafield/internal/backend/server"
)

func TestDatagramsWithManyCrashesKeepTheirBound(t *testing.T) {
	id := func(kind string, n int) string { return fmt.Sprintf("%s%03d", strings.Repeat(kind, 61), n) }
	for _, deadly := range []int{4, 16} {
		runRouters(t, 30, func(g *WithT, _ *network, all []*router) {
			for i := range deadly {
				var parts []string
				for k := range 8 {
					parts = append(parts, id("a", 10*i+k))
				}
				for j := range 3 {
					all[1].quarantine.ServerLost(promptOf(id("b", i), parts...), &server.Server{ID: fmt.Sprintf("%s-%d-%d", strings.Repeat("e", 60), i, j)}, 0)
				}
			}
			all[1].sent()
			time.Sleep(4 * time.Second)
			_, largest := all[1].sent()
			g.Expect(largest).To(And(BeNumerically("<=", 8<<10), BeNumerically(">", 3<<10)), "%d deadly sessions", deadly)
			if deadly > 4 {
				return // more than the datagrams of four seconds hold
			}
			for i := range deadly {
				_, refused := all[7].quarantine.Refuses(promptOf(id("b", i)))
				g.Expect(refused).To(BeTrue(), "news that does not fit arrives in later datagrams")
			}
		})
	}
}
