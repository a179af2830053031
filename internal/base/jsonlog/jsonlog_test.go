package jsonlog

import (
	"bytes"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// stuck is a reader that does not read.
type stuck struct{ forever chan struct{} }

func (s stuck) Write([]byte) (int, error) { <-s.forever; return 0, nil }

func TestALogThatNobodyReadsNeverHoldsUpAWriter(t *testing.T) {
	g := NewWithT(t)
	sink := NewSink(stuck{make(chan struct{})})
	log := New(sink)
	done := make(chan struct{})
	go func() {
		for i := range 5 * queued {
			log.WithField("id", i).Info("decision")
		}
		close(done)
	}()
	g.Eventually(done).WithTimeout(5 * time.Second).Should(BeClosed())
	g.Expect(sink.Dropped()).To(BeNumerically(">", 0))
}

type buffer struct {
	mu sync.Mutex
	b  bytes.Buffer
}

func (b *buffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.b.Write(p)
}

func (b *buffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.b.String()
}

func TestTheVolumeIsBoundedAndWhatWasDroppedIsTold(t *testing.T) {
	g := NewWithT(t)
	out := &buffer{}
	sink := NewSink(out)
	for i := range 3 * perSecond {
		fmt.Fprintf(sink, "{\"n\":%d}\n", i)
	}
	g.Expect(sink.Dropped()).To(BeNumerically(">=", perSecond))
	g.Eventually(func() string {
		fmt.Fprintln(sink, "{}")
		return out.String()
	}).WithTimeout(3 * time.Second).Should(ContainSubstring("lines dropped"))
	g.Expect(strings.Count(out.String(), "\"n\"")).To(BeNumerically("<=", 2*perSecond))
}
