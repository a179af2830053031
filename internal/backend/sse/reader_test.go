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

// A line whose length is a multiple of the buffer's size once ended its event early: the
// newline that follows was read on its own and taken for a blank line.
func TestLongLinesDoNotSplitAnEvent(t *testing.T) {
	g := NewWithT(t)
	for _, length := range []int{2046, 2047, 2048, 2049, 4096, 6144} {
		for _, newline := range []string{"\n", "\r\n"} {
			complete := "data: " + strings.Repeat("a", length-len("data: ")) + newline + "id: 7" + newline + newline
			r := sse.NewReader(strings.NewReader(complete + "id: 8\n\n"))
			e, err := r.Next()
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(e).To(Equal(sse.Event{Raw: []byte(complete), ID: 7}), "line of %d bytes", length)
			e, err = r.Next()
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(e.ID).To(Equal(8))
		}
	}
}

// The rest of a long line may look like a field of its own.
func TestAnIDWithinALongLineIsNotTheEventsID(t *testing.T) {
	g := NewWithT(t)
	line := "data: " + strings.Repeat("a", 2048-len("data: ")) + "id: 9\n"
	e, err := sse.NewReader(strings.NewReader(line + "\n")).Next()
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(e).To(Equal(sse.Event{Raw: []byte(line + "\n")}))
}

// An error's text or the head of another answer was taken for an event.
func TestBytesThatAreNoEventAreAnError(t *testing.T) {
	g := NewWithT(t)
	for _, text := range []string{
		"overloaded\n\n", "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n", "{\"data\":1}\n\n", "database: down\n\n",
		"id: x\ndata: a\n\n", "id: 0\ndata: a\n\n", "id: -1\ndata: a\n\n", "id: 99999999999999999999\n\n", "id: x\nid: 1\n\n",
	} {
		_, err := sse.NewReader(strings.NewReader(text)).Next()
		g.Expect(err).To(MatchError(sse.ErrMalformed), "%q", text)
	}
	for _, text := range []string{"data\n\n", "data: a\n\n", "event: end\n\n", ": alive\n\n", "retry: 9\r\n\r\n", "x-weight-versions: 7\nid: 5\ndata: a\n\n", "\n"} {
		e, err := sse.NewReader(strings.NewReader(text)).Next()
		g.Expect(err).NotTo(HaveOccurred(), "%q", text)
		g.Expect(string(e.Raw)).To(Equal(text))
	}
}

// A stream that dripped blank lines counted as one that makes progress.
func TestBlankLinesAreNoEvents(t *testing.T) {
	g := NewWithT(t)
	r := sse.NewReader(strings.NewReader("\n\r\n\nid: 1\ndata: a\n\n\n\nid: 2\n\n\n"))
	for _, want := range []sse.Event{{Raw: []byte("\n\r\n\nid: 1\ndata: a\n\n"), ID: 1}, {Raw: []byte("\n\nid: 2\n\n"), ID: 2}, {Raw: []byte("\n"), Comment: true}} {
		e, err := r.Next()
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(e).To(Equal(want))
	}
	_, err := r.Next()
	g.Expect(err).To(Equal(io.EOF))
}

// endless sends the same byte for ever.
type endless byte

func (b endless) Read(p []byte) (int, error) {
	for i := range p {
		p[i] = byte(b)
	}
	return len(p), nil
}

func TestAnEventWithoutEndIsAnError(t *testing.T) {
	g := NewWithT(t)
	for _, b := range []endless{'a', '\r', '\n'} {
		_, err := sse.NewReader(b).Next()
		g.Expect(err).To(MatchError(sse.ErrTruncated))
	}
}

func FuzzNext(f *testing.F) {
	f.Add("id: 1\ndata: a\n\nid: 2\n\n")
	f.Add("id: 1\ndata: a\n\nHTTP/1.1 503 Service Unavailable\r\n\r\nid: x\n\n")
	f.Fuzz(func(t *testing.T, text string) {
		r := sse.NewReader(strings.NewReader(text))
		read := 0
		for {
			e, err := r.Next()
			if err != nil {
				break
			}
			if !strings.HasPrefix(text[read:], string(e.Raw)) {
				t.Fatalf("%q is not what %q has at %d", e.Raw, text, read)
			}
			read += len(e.Raw)
		}
	})
}
