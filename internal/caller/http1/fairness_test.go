package http1

import (
	"bytes"
	"errors"
	"io"
	"net"
	"net/http"
	"runtime"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// readyConn is a connection whose request has arrived. It records each read in a list that
// several share.
type readyConn struct {
	net.Conn // only for its addresses and for writing
	id       int
	request  *bytes.Reader
	reads    *readList
	closed   chan struct{}
	once     sync.Once
}

type readList struct {
	mu  sync.Mutex
	ids []int
}

func (c *readyConn) Read(p []byte) (int, error) {
	if c.request.Len() == 0 {
		<-c.closed
		return 0, io.EOF
	}
	c.reads.mu.Lock()
	c.reads.ids = append(c.reads.ids, c.id)
	c.reads.mu.Unlock()
	return c.request.Read(p)
}

func (c *readyConn) Close() error {
	c.once.Do(func() { close(c.closed) })
	return c.Conn.Close()
}

func (c *readyConn) SetReadDeadline(time.Time) error { return nil }

// readyListener returns connections, then none.
type readyListener struct {
	net.Listener
	conns chan net.Conn
}

func (l readyListener) Accept() (net.Conn, error) {
	conn, ok := <-l.conns
	if !ok {
		return nil, net.ErrClosed
	}
	return conn, nil
}

// Hundreds of callers with small chunks each kept the processor for as long as the scheduler lets
// one run, and ordinary callers waited for all of them.
func TestLongRequestsTakeTurns(t *testing.T) {
	const bodyBytes, readers = 600 << 10, 2
	g := NewWithT(t)
	before := runtime.GOMAXPROCS(1)
	t.Cleanup(func() { runtime.GOMAXPROCS(before) })
	var served sync.WaitGroup
	served.Add(readers)
	s := newTestServer(func(_ http.ResponseWriter, r *http.Request) {
		defer served.Done()
		_, _ = io.Copy(io.Discard, r.Body)
	})
	request := append([]byte("POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"), bytes.Repeat([]byte("3\r\nxxx\r\n"), bodyBytes/8)...)
	request = append(request, "0\r\n\r\n"...)
	var reads readList
	conns := make(chan net.Conn, readers)
	for id := range readers {
		ours, theirs := net.Pipe()
		go func() { _, _ = io.Copy(io.Discard, theirs) }()
		t.Cleanup(func() { _ = theirs.Close() })
		conns <- &readyConn{Conn: ours, id: id, request: bytes.NewReader(request), reads: &reads, closed: make(chan struct{})}
	}
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	ended := make(chan error, 1)
	go func() { ended <- s.server.Serve(s.conns.Listen(readyListener{ln, conns})) }()
	served.Wait()
	close(conns)
	g.Expect(errors.Is(<-ended, net.ErrClosed)).To(BeTrue())
	reads.mu.Lock()
	defer reads.mu.Unlock()
	// While both have more than fairBytes behind them and as much before them.
	middle := reads.ids[len(reads.ids)/3 : len(reads.ids)*2/3]
	turns := 0
	for i := 1; i < len(middle); i++ {
		if middle[i] != middle[i-1] {
			turns++
		}
	}
	g.Expect(turns).To(BeNumerically(">", len(middle)/2), "%d reads", len(middle))
}
