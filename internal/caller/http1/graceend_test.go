package http1

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// The process ended at once, and a request that was under way got a reset.
func TestARequestThatCrossesTheEndOfTheGraceTimeIsRefused(t *testing.T) {
	t.Parallel()
	g := NewWithT(t)
	s := newTestServer(func(http.ResponseWriter, *http.Request) {})
	address := s.listen(g, t)
	var conns []net.Conn
	for range 20 {
		conn, err := net.Dial("tcp", address)
		g.Expect(err).NotTo(HaveOccurred())
		defer conn.Close()
		conns = append(conns, conn)
	}
	g.Eventually(s.conns.Count).Should(Equal(map[Phase]int{Idle: len(conns)}))
	s.conns.stopAccepting()
	go func() {
		s.conns.EndReading(time.Now().Add(time.Second))
		_ = s.server.Close()
	}()
	g.Eventually(func() (ended int) {
		s.conns.each(func(c *callerConn) {
			if _, _, ends := c.state(); ends {
				ended++
			}
		})
		return ended
	}, testTimeout, time.Millisecond).Should(Equal(len(conns)))
	for _, conn := range conns {
		_, err := fmt.Fprint(conn, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\n\r\nx")
		g.Expect(err).NotTo(HaveOccurred())
		answers := bufio.NewReader(conn)
		res, err := http.ReadResponse(answers, nil)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(res.StatusCode).To(Equal(http.StatusRequestTimeout))
		_, err = answers.ReadByte()
		g.Expect(err).To(Equal(io.EOF))
	}
}

// lateConn is read late, as on a busy host.
type lateConn struct{ net.Conn }

func (c lateConn) SetReadDeadline(t time.Time) error {
	if time.Until(t) > time.Second { // of net/http, for the header
		time.Sleep(heldUpTime)
	}
	return c.Conn.SetReadDeadline(t)
}

type lateConnListener struct{ net.Listener }

func (l lateConnListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return lateConn{conn}, nil
}

func TestARequestThatIsReadLateIsAnsweredAtTheEndOfTheGraceTime(t *testing.T) {
	t.Parallel()
	g := NewWithT(t)
	s := newTestServer(func(http.ResponseWriter, *http.Request) {})
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	s.serveOn(lateConnListener{ln}, t)
	conn, err := net.Dial("tcp", ln.Addr().String())
	g.Expect(err).NotTo(HaveOccurred())
	defer conn.Close()
	_, err = fmt.Fprint(conn, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\n\r\nx")
	g.Expect(err).NotTo(HaveOccurred())
	g.Eventually(s.conns.Count).WithPolling(time.Millisecond).Should(Equal(map[Phase]int{Idle: 1}))
	s.conns.stopAccepting()
	s.conns.EndReading(time.Now().Add(time.Second))
	_ = s.server.Close()
	_, err = http.ReadResponse(bufio.NewReader(conn), nil)
	g.Expect(err).NotTo(HaveOccurred())
}

func TestQueuedRequestsAreAnsweredIfTheEndOfAcceptingWasMissed(t *testing.T) {
	t.Parallel()
	g := NewWithT(t)
	s := newTestServer(func(http.ResponseWriter, *http.Request) {})
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	s.serveOn(lateListener{ln.(*net.TCPListener)}, t)
	var conns []net.Conn
	for range 100 {
		conn, err := net.Dial("tcp", ln.Addr().String())
		g.Expect(err).NotTo(HaveOccurred())
		defer conn.Close()
		_, err = fmt.Fprint(conn, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
		g.Expect(err).NotTo(HaveOccurred())
		conns = append(conns, conn)
	}
	now := time.Now()
	s.conns.Drain(Schedule{LameDuckEnd: now, AcceptEnd: now, End: now}, s.conns.log)
	s.conns.EndReading(time.Now().Add(500 * time.Millisecond))
	_ = s.server.Close()
	for _, conn := range conns {
		_, err := http.ReadResponse(bufio.NewReader(conn), nil)
		g.Expect(err).NotTo(HaveOccurred())
	}
}
