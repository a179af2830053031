package jsonlog

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"strings"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// blockedWriter never returns from Write, like a pipe that nobody reads.
type blockedWriter struct{ blocked chan struct{} }

func (w blockedWriter) Write([]byte) (int, error) { <-w.blocked; return 0, nil }

func TestBlockedReaderNeverBlocksWriters(t *testing.T) {
	g := NewWithT(t)
	sink := NewSink(blockedWriter{make(chan struct{})})
	log := New(sink)
	done := make(chan struct{})
	go func() {
		for i := range 5 * maxQueuedLines {
			log.WithField("id", i).Info("decision")
		}
		close(done)
	}()
	g.Eventually(done).WithTimeout(5 * time.Second).Should(BeClosed())
	g.Expect(sink.Dropped()).To(BeNumerically(">", 0))
}

type safeBuffer struct {
	mu sync.Mutex
	b  bytes.Buffer
}

func (b *safeBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.b.Write(p)
}

func (b *safeBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.b.String()
}

func TestVolumeIsBoundedAndDroppedLinesAreReported(t *testing.T) {
	g := NewWithT(t)
	out := &safeBuffer{}
	sink := NewSink(out)
	for i := range 3 * maxLinesPerSecond {
		fmt.Fprintf(sink, "{\"n\":%d}\n", i)
	}
	g.Expect(sink.Dropped()).To(BeNumerically(">=", maxLinesPerSecond))
	g.Eventually(func() string {
		fmt.Fprintln(sink, "{}")
		return out.String()
	}).WithTimeout(3 * time.Second).Should(ContainSubstring("lines dropped"))
	g.Expect(strings.Count(out.String(), "\"n\"")).To(BeNumerically("<=", 2*maxLinesPerSecond))
}

// The last line of a process was lost: Flush returned while it was being written.
func TestFlushWaitsForTheLineThatIsBeingWritten(t *testing.T) {
	g := NewWithT(t)
	r, w := io.Pipe()
	sink := NewSink(w)
	New(sink).Info("router stopped")
	time.Sleep(20 * time.Millisecond) // the line has left the queue
	flushed := make(chan struct{})
	go func() {
		sink.Flush(time.Now().Add(5 * time.Second))
		close(flushed)
	}()
	g.Consistently(flushed, 50*time.Millisecond).ShouldNot(BeClosed())
	line, err := bufio.NewReader(r).ReadString('\n')
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(line).To(ContainSubstring("router stopped"))
	g.Eventually(flushed, time.Second).Should(BeClosed())
}
