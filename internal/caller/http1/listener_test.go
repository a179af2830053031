package http1

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// failingListener fails to accept the first connections.
type failingListener struct {
	net.Listener
	failures atomic.Int32 // that are left
}

func (l *failingListener) Accept() (net.Conn, error) {
	if l.failures.Add(-1) >= 0 {
		return nil, &net.OpError{Op: "accept", Net: "tcp", Err: os.NewSyscallError("accept4", syscall.ENOBUFS)}
	}
	return l.Listener.Accept()
}

func TestAFailureToAcceptAConnectionDoesNotEndTheRouter(t *testing.T) {
	g := NewWithT(t)
	s := newTestServer(func(http.ResponseWriter, *http.Request) {})
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	failing := &failingListener{Listener: ln}
	failing.failures.Store(3)
	ended := make(chan error, 1)
	go func() { ended <- Serve(s.server, s.conns.Listen(failing)) }()
	res, err := http.Post("http://"+ln.Addr().String(), "text/plain", nil)
	g.Expect(err).NotTo(HaveOccurred())
	_ = res.Body.Close()
	s.conns.stopAccepting()
	g.Eventually(ended).Should(Receive(BeNil()))
}

// hookListener accepts connections that call afterRead when bytes of a request were read.
type hookListener struct {
	net.Listener
	afterRead func()
}

func (l hookListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	return hookConn{conn, l.afterRead}, err
}

type hookConn struct {
	net.Conn
	afterRead func()
}

func (c hookConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.afterRead()
	}
	return n, err
}

func TestARequestThatIsReadWhileIdleConnectionsAreClosedIsServed(t *testing.T) {
	g := NewWithT(t)
	s := newTestServer(func(w http.ResponseWriter, r *http.Request) { _, _ = io.Copy(w, r.Body) })
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	s.serveOn(hookListener{ln, func() { s.conns.closeIdle(time.Now().Add(minIdle)) }}, t)
	conn, err := net.Dial("tcp", ln.Addr().String())
	g.Expect(err).NotTo(HaveOccurred())
	defer conn.Close()
	answers := bufio.NewReader(conn)
	for range 2 {
		_, err = fmt.Fprint(conn, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\nx")
		g.Expect(err).NotTo(HaveOccurred())
		time.Sleep(20 * time.Millisecond)
		_, err = fmt.Fprint(conn, "y")
		g.Expect(err).NotTo(HaveOccurred())
		res, err := http.ReadResponse(answers, nil)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(io.ReadAll(res.Body)).To(Equal([]byte("xy")))
	}
	s.endIdle(g)
	res, err := http.ReadResponse(answers, nil)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(res.StatusCode).To(Equal(http.StatusRequestTimeout))
	_, err = answers.ReadByte()
	g.Expect(err).To(Equal(io.EOF))
}

func TestAHeaderWithoutATimeoutIsReadWhileIdleConnectionsAreClosed(t *testing.T) {
	g := NewWithT(t)
	s := newTestServer(func(http.ResponseWriter, *http.Request) {})
	s.server.ReadHeaderTimeout, s.conns.headerTimeout = 0, 0
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	s.serveOn(hookListener{ln, func() { s.conns.closeIdle(time.Now().Add(minIdle)) }}, t)
	conn, err := net.Dial("tcp", ln.Addr().String())
	g.Expect(err).NotTo(HaveOccurred())
	defer conn.Close()
	for _, part := range []string{"GET / HTTP/1.1\r\nHo", "st: h\r\n\r\n"} {
		_, err = fmt.Fprint(conn, part)
		g.Expect(err).NotTo(HaveOccurred())
		time.Sleep(20 * time.Millisecond)
	}
	res, err := http.ReadResponse(bufio.NewReader(conn), nil)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(res.StatusCode).To(Equal(http.StatusOK))
}

// gatedListener accepts connections once its gate is open.
type gatedListener struct {
	*net.TCPListener
	gate chan bool
}

func (l gatedListener) Accept() (net.Conn, error) {
	<-l.gate
	return l.TCPListener.Accept()
}

// queuedConnections returns the length of a listener's queue in the kernel. A dialled connection
// gets there with the last packet of its handshake, which may come after Dial has returned.
func queuedConnections(address net.Addr) (int, error) {
	table, err := os.ReadFile("/proc/net/tcp")
	if err != nil {
		return 0, err
	}
	local := fmt.Sprintf(":%04X", address.(*net.TCPAddr).Port)
	for _, line := range strings.Split(string(table), "\n") {
		const listening = "0A"
		fields := strings.Fields(line)
		if len(fields) < 5 || !strings.HasSuffix(fields[1], local) || fields[3] != listening {
			continue
		}
		_, queued, _ := strings.Cut(fields[4], ":")
		n, err := strconv.ParseInt(queued, 16, 0)
		return int(n), err
	}
	return 0, fmt.Errorf("%s is not listening", address)
}

func TestAConnectionInTheKernelsQueueIsServedWhenAcceptingEnds(t *testing.T) {
	g := NewWithT(t)
	s := newTestServer(func(http.ResponseWriter, *http.Request) {})
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	gated := gatedListener{ln.(*net.TCPListener), make(chan bool)}
	s.serveOn(gated, t)
	const callers = 3
	results := make(chan error, callers)
	for range callers {
		conn, err := net.Dial("tcp", ln.Addr().String())
		g.Expect(err).NotTo(HaveOccurred())
		defer conn.Close()
		go func() {
			_, _ = fmt.Fprint(conn, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
			_, err := http.ReadResponse(bufio.NewReader(conn), nil)
			results <- err
		}()
	}
	g.Eventually(func() (int, error) { return queuedConnections(ln.Addr()) }).WithPolling(time.Millisecond).Should(Equal(callers))
	s.conns.stopAccepting()
	close(gated.gate)
	for range callers {
		g.Expect(<-results).NotTo(HaveOccurred())
	}
	g.Eventually(func() error {
		conn, err := net.Dial("tcp", ln.Addr().String())
		if err == nil {
			_ = conn.Close()
		}
		return err
	}).Should(HaveOccurred())
}

func TestAcceptingEndsWhileCallersKeepConnecting(t *testing.T) {
	t.Parallel()
	g := NewWithT(t)
	s := newTestServer(func(http.ResponseWriter, *http.Request) {})
	address := s.listen(g, t)
	const callers = 8
	for range callers {
		go func() {
			for {
				conn, err := net.Dial("tcp", address)
				if err != nil {
					return
				}
				_ = conn.Close()
			}
		}()
	}
	time.Sleep(50 * time.Millisecond)
	s.conns.stopAccepting()
	g.Eventually(func() bool {
		s.conns.mu.Lock()
		defer s.conns.mu.Unlock()
		return s.conns.accepts
	}, QuietTime/2, time.Millisecond).Should(BeFalse())
}
