package sessions_test

import (
	"encoding/json"
	"testing"

	. "github.com/onsi/gomega"

	"wisteriafield/internal/router/sessions"
)

// Routers of different versions exchange records, so the encoded names must not change.
func TestRecordKeepsItsEncodedNames(t *testing.T) {
	g := NewWithT(t)
	text, err := json.Marshal(sessions.Record{Session: "s", AttemptID: "r-1", Server: "a:1", Backup: "b:1"})
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(string(text)).To(Equal(`{"Session":"s","Run":"r-1","Server":"a:1","Backup":"b:1"}`))
}
