package sse_test

import (
	"fmt"
	"io"
	"strings"
	"testing"
	"testing/iotest"

	. "github.com/onsi/gomega"

	"wisteriafield/internal/backend/sse"
)

func ExampleReader_Next() {
	r := sse.NewReader(strings.NewReader("id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\n"))
	for {
		e, err := r.Next()
		if err == io.EOF {
			break
		}
		fmt.Printf("%d %q\n", e.ID, e.Raw)
	}
	// Output:
	// 1 "id: 1\ndata: a\n\n"
	// 2 "id: 2\r\ndata: b\r\n\r\n"
}

func TestTruncatedEventIsNotReturned(t *testing.T) {
	g := NewWithT(t)
	complete := "id: 1\ndata: " + strings.Repeat("a", 5000) + "\n\n"
	for cut := 1; cut < len(complete); cut += 97 {
		r := sse.NewReader(iotest.OneByteReader(strings.NewReader(complete[:cut])))
		_, err := r.Next()
		g.Expect(err).To(MatchError(sse.ErrTruncated))
	}
	e, err := sse.NewReader(strings.NewReader(complete)).Next()
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(string(e.Raw)).To(Equal(complete))
}

func FuzzNext(f *testing.F) {
	f.Add("id: 1\ndata: a\n\nid: 2\n\n")
	f.Fuzz(func(t *testing.T, text string) {
		r := sse.NewReader(strings.NewReader(text))
		var all string
		for {
			e, err := r.Next()
			if err != nil {
				break
			}
			all += string(e.Raw)
		}
		if !strings.HasPrefix(text, all) {
			t.Fatalf("%q is not a prefix of %q", all, text)
		}
	})
}
