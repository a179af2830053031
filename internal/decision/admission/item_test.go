package admission_test

import (
	"encoding/json"
	"testing"

	. "github.com/onsi/gomega"

	"wisteriafield/internal/decision/admission"
)

// The encoded name of a field must not follow its Go name.
func TestItemJSONFieldNames(t *testing.T) {
	g := NewWithT(t)
	encoded, err := json.Marshal(admission.Item{ID: "i", ModelKey: "m"})
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(string(encoded)).To(Equal(`{"ID":"i","Organisation":"","Weight":0,"Class":"","Tokens":0,"Needs":"m","Prefix":"","Avoid":"","ArrivedAt":"0001-01-01T00:00:00Z","StartBy":"0001-01-01T00:00:00Z"}`))
}
