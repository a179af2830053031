package document_test

import (
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"testing"

	. "github.com/onsi/gomega"

	"wisteriafield/internal/config/document"
	"wisteriafield/internal/config/manifest"
)

var update = flag.Bool("update", false, "write golden files")

// golden compares a text with a file under testdata.
func golden(t *testing.T, name, got string) {
	t.Helper()
	path := filepath.Join("testdata", name)
	if *update {
		NewWithT(t).Expect(os.WriteFile(path, []byte(got), 0o644)).To(Succeed())
	}
	want, err := os.ReadFile(path)
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	NewWithT(t).Expect(got).To(Equal(string(want)))
}

func load(t *testing.T, name string) *document.Document {
	t.Helper()
	path := filepath.Join("..", "..", "..", "examples", name)
	text, err := os.ReadFile(path)
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	d, err := document.Parse(name, text)
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	return d
}

func TestTheExamplesOfBothFirmsAreInOrder(t *testing.T) {
	for _, name := range []string{"scordia.ini", "qalamdaan.ini"} {
		d := load(t, name)
		g := NewWithT(t)
		g.Expect(d.Engines).To(HaveLen(20))
		g.Expect(d.Organisations).To(HaveLen(10))
		g.Expect(d.Validate()).To(Succeed())
	}
}

func TestEveryFaultIsNamed(t *testing.T) {
	text, err := os.ReadFile(filepath.Join("testdata", "faults.ini"))
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	_, err = document.Parse("faults.ini", text)
	NewWithT(t).Expect(err).To(HaveOccurred())
	golden(t, "faults.golden", err.Error()+"\n")
}

func TestADocumentSurvivesItsParts(t *testing.T) {
	g := NewWithT(t)
	d := load(t, "scordia.ini")
	parts, bodies, err := manifest.Split(d)
	g.Expect(err).NotTo(HaveOccurred())
	m := &manifest.Manifest{Environment: "trial", Revision: 1, Digest: manifest.DigestOf(parts), Parts: parts}
	joined, err := manifest.Join(m, bodies)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(joined).To(Equal(d))

	bodies[parts[0].Digest] = []byte(`{}`)
	_, err = manifest.Join(m, bodies)
	g.Expect(err).To(MatchError(manifest.ErrDigestMismatch))
}

func TestAChangeMovesOnlyItsParts(t *testing.T) {
	g := NewWithT(t)
	before, _, _ := manifest.Split(load(t, "scordia.ini"))
	d := load(t, "scordia.ini")
	d.Organisations[3].Weight = 9
	after, _, _ := manifest.Split(d)
	g.Expect(after).To(HaveLen(len(before)))
	changed := 0
	for i := range after {
		if after[i] != before[i] {
			changed++
		}
	}
	g.Expect(changed).To(Equal(1))
}

func FuzzParse(f *testing.F) {
	f.Add([]byte("[Policy]\nRouting = TwoHop\n"))
	f.Add([]byte("[Engine a]\nSlots = 1\n[Engine a]\n"))
	f.Fuzz(func(t *testing.T, text []byte) {
		if d, err := document.Parse("fuzz.ini", text); err == nil {
			if err := d.Validate(); err != nil {
				t.Fatalf("parsed, but %v", err)
			}
		}
	})
}

func ExampleService_IsIdempotent() {
	s := document.Service{Repeatable: []string{"GET /signs/*", "POST /rates"}}
	fmt.Println(s.IsIdempotent("GET", "/signs/12"), s.IsIdempotent("POST", "/rates"), s.IsIdempotent("POST", "/signs/12"))
	// Output: true true false
}
