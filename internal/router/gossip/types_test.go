package gossip

import (
	"encoding/json"
	"testing"

	. "github.com/onsi/gomega"
)

// Routers of two releases run next to each other during an upgrade, so the names in
// messages and in the store's host entries must not change.
func TestHostKeepsItsEncodedNames(t *testing.T) {
	g := NewWithT(t)
	encoded, err := json.Marshal(Host{Name: "r", Domain: "a", Address: "1.1.1.1:1", DatagramAddress: "1.1.1.1:2", Started: 3, LinkMbps: 4})
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(string(encoded)).To(Equal(`{"Name":"r","Domain":"a","Address":"1.1.1.1:1","Notices":"1.1.1.1:2","Started":3,"LinkMbps":4}`))
}
