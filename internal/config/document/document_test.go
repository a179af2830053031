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

// compareGolden compares a text with a file under testdata.
func compareGolden(t *testing.T, name, got string) {
	t.Helper()
	path := filepath.Join("testdata", name)
	if *update {
		NewWithT(t).Expect(os.WriteFile(path, []byte(got), 0o644)).To(Succeed())
	}
	want, err := os.ReadFile(path)
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	NewWithT(t).Expect(got).To(Equal(string(want)))
}

func loadExample(t *testing.T, name string) *document.Document {
	t.Helper()
	path := filepath.Join("..", "..", "..", "examples", name)
	text, err := os.ReadFile(path)
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	d, err := document.Parse(name, text)
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	return d
}

func TestExamplesAreValid(t *testing.T) {
	for _, name := range []string{"scordia.ini", "qalamdaan.ini"} {
		d := loadExample(t, name)
		g := NewWithT(t)
		g.Expect(d.Engines).To(HaveLen(20))
		g.Expect(d.Organisations).To(HaveLen(10))
		g.Expect(d.Validate()).To(Succeed())
	}
}

func TestParseReportsEveryError(t *testing.T) {
	text, err := os.ReadFile(filepath.Join("testdata", "faults.ini"))
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	_, err = document.Parse("faults.ini", text)
	NewWithT(t).Expect(err).To(HaveOccurred())
	compareGolden(t, "faults.golden", err.Error()+"\n")
}

func TestSplitAndJoinRoundTrip(t *testing.T) {
	g := NewWithT(t)
	d := loadExample(t, "scordia.ini")
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

func TestChangeReplacesOnlyItsParts(t *testing.T) {
	g := NewWithT(t)
	before, _, _ := manifest.Split(loadExample(t, "scordia.ini"))
	d := loadExample(t, "scordia.ini")
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
