package limits

import (
	"encoding/json"
	"testing"

	. "github.com/onsi/gomega"
)

// TestLeaseRequestEncoding guards the field names that routers of other releases
// send and expect.
func TestLeaseRequestEncoding(t *testing.T) {
	g := NewWithT(t)
	encoded, err := json.Marshal(leaseRequest{Organisation: "a", Entry: "r", Tokens: 1.5, Reserve: 2.5, InFlight: 3})
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(string(encoded)).To(Equal(`{"Organisation":"a","Entry":"r","Tokens":1.5,"Stock":2.5,"InFlight":3}`))
}
