package planner

import (
	"encoding/json"
	"testing"

	. "github.com/onsi/gomega"
)

// TestPlanRequestEncoding guards the field name that routers of other releases
// send and expect.
func TestPlanRequestEncoding(t *testing.T) {
	g := NewWithT(t)
	encoded, err := json.Marshal(planRequest{KnownRevision: 7})
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(string(encoded)).To(Equal(`{"Have":7}`))
}
