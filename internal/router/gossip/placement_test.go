package gossip_test

import (
	"testing"

	. "github.com/onsi/gomega"

	"wisteriafield/internal/router/gossip"
)

type datagramLog []string

func (d *datagramLog) Send(address string, datagram []byte) error {
	*d = append(*d, address+" "+string(datagram))
	return nil
}

type placementLog []string

func (p *placementLog) Receive(message []byte) { *p = append(*p, string(message)) }

// A placement message taken for an exchange would make its sender a peer without a name, and one
// with the fields of an exchange would be several times as long.
func TestPlacementMessagesCarryNothingElse(t *testing.T) {
	g := NewWithT(t)
	var sent datagramLog
	var received placementLog
	router := gossip.New(gossip.Config{Datagrams: &sent, Placement: &received})
	g.Expect(router.SendPlacement("peer", []byte(`{"N":[]}`))).To(Succeed())
	g.Expect(sent).To(Equal(datagramLog{`peer {"Pl":{"N":[]}}`}))
	router.Receive([]byte(sent[0][len("peer "):]))
	g.Expect(received).To(Equal(placementLog{`{"N":[]}`}))
	gossip.New(gossip.Config{}).Receive([]byte(`{"Pl":{"N":[]}}`)) // without placement, as in small tests
}
