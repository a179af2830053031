package retrybudget_test

import (
	"encoding/json"
	"testing"

	. "github.com/onsi/gomega"

	"wisteriafield/internal/decision/retrybudget"
)

// Peers exchange Counts as JSON, so its field names must not change.
func TestCountsJSONFieldNames(t *testing.T) {
	g := NewWithT(t)
	encoded, err := json.Marshal(retrybudget.Counts{FirstAttempts: 4, Retries: 1.5})
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(string(encoded)).To(Equal(`{"Firsts":4,"Repeats":1.5}`))
}
