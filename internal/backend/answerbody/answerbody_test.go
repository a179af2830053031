package answerbody_test

import (
	"bytes"
	"errors"
	"io"
	"strings"
	"testing"
	"testing/iotest"

	. "github.com/onsi/gomega"

	"wisteriafield/internal/backend/answerbody"
	"wisteriafield/internal/decision/answermemory"
)

const limit = 1 << 20

func TestABodyIsReadToItsEnd(t *testing.T) {
	g := NewWithT(t)
	budget := answermemory.New(2 * limit)
	for _, size := range []int{0, 1, 4 << 10, 4<<10 + 1, 36 << 10, 100_000, limit} {
		text := strings.Repeat("0123456789", size/10+1)[:size]
		for _, r := range []io.Reader{strings.NewReader(text), iotest.DataErrReader(strings.NewReader(text)), iotest.HalfReader(strings.NewReader(text))} {
			b, err := answerbody.Read(r, limit, budget, func() {})
			g.Expect(err).NotTo(HaveOccurred())
			var written bytes.Buffer
			n, err := b.WriteTo(&written)
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect([]int{int(n), b.Size()}).To(Equal([]int{size, size}))
			g.Expect(written.String() == text && string(b.Bytes()) == text).To(BeTrue())
			b.Release()
		}
	}
	g.Expect(budget.Used()).To(BeZero())
}

// An incomplete body must not look complete, whatever it ends with.
func TestAnIncompleteBodyIsAnError(t *testing.T) {
	g := NewWithT(t)
	budget := answermemory.New(limit)
	for _, end := range []error{io.ErrUnexpectedEOF, errors.New("reset")} {
		for _, size := range []int{0, 1, 4 << 10, 100_000} {
			r := io.MultiReader(strings.NewReader(strings.Repeat("x", size)), iotest.ErrReader(end))
			_, err := answerbody.Read(r, limit, budget, func() {})
			g.Expect(err).To(MatchError(end))
		}
	}
	g.Expect(budget.Used()).To(BeZero())
}

func TestABodyWithoutEndIsAnError(t *testing.T) {
	g := NewWithT(t)
	endless := iotest.DataErrReader(io.LimitReader(zeros{}, 1<<40))
	_, err := answerbody.Read(endless, limit, answermemory.New(2*limit), func() {})
	g.Expect(err).To(MatchError(answerbody.ErrTooLarge))
	budget := answermemory.New(limit / 2)
	_, err = answerbody.Read(endless, limit, budget, func() {})
	g.Expect(err).To(MatchError(answermemory.ErrExhausted))
	g.Expect(budget.Used()).To(BeZero())
}

type zeros struct{}

func (zeros) Read(p []byte) (int, error) { return len(p), nil }

// Pieces are used again: no body may have those of another one, even if one is released twice.
func TestReleasedBodiesDoNotShareMemory(t *testing.T) {
	g := NewWithT(t)
	budget := answermemory.New(1 << 30)
	read := func(letter string, size int) *answerbody.Body {
		b, err := answerbody.Read(strings.NewReader(strings.Repeat(letter, size)), limit, budget, func() {})
		g.Expect(err).NotTo(HaveOccurred())
		return b
	}
	for _, size := range []int{100, 40 << 10, 300 << 10} {
		first := read("a", size)
		kept := first.Bytes() // of a request that is still written
		unjoined := read("u", size)
		first.Release()
		first.Release()
		unjoined.Release()
		unjoined.Release()
		var bodies []*answerbody.Body
		for _, letter := range []string{"b", "c", "d"} {
			bodies = append(bodies, read(letter, size))
		}
		for i, letter := range []string{"b", "c", "d"} {
			var written bytes.Buffer
			_, err := bodies[i].WriteTo(&written)
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(written.String() == strings.Repeat(letter, size)).To(BeTrue(), "body of %d bytes", size)
		}
		g.Expect(string(kept) == strings.Repeat("a", size)).To(BeTrue())
		var written bytes.Buffer
		_, err := unjoined.WriteTo(&written)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(written.Len()).To(BeZero(), "a released body has no bytes")
	}
}
