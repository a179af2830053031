package link_test

import (
	"net"
	"syscall"
	"testing"

	. "github.com/onsi/gomega"

	"wisteriafield/internal/standin/link"
	"wisteriafield/internal/trial/fleet"
)

// A router told a crashed server from one that is down only if the link refused connections
// as the server does.
func TestLinkRefusesConnectionsWhileItsTargetDoes(t *testing.T) {
	g := NewWithT(t)
	target := fleet.FreeAddress()
	ln, err := net.Listen("tcp", target)
	g.Expect(err).NotTo(HaveOccurred())
	l, err := link.NewRefusing(fleet.FreeAddress(), target)
	g.Expect(err).NotTo(HaveOccurred())
	defer l.Close()
	dial := func() error {
		conn, err := net.Dial("tcp", l.Address)
		if err == nil {
			_ = conn.Close()
		}
		return err
	}
	g.Expect(dial()).To(Succeed())
	g.Expect(ln.Close()).To(Succeed())
	g.Eventually(dial).Should(MatchError(syscall.ECONNREFUSED))
	ln, err = net.Listen("tcp", target)
	g.Expect(err).NotTo(HaveOccurred())
	defer ln.Close()
	g.Eventually(dial).Should(Succeed())
}
