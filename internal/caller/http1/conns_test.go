package http1

import (
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/sirupsen/logrus"
	logtest "github.com/sirupsen/logrus/hooks/test"
)

const testHeaderTimeout = 5 * time.Second

// testServer is an HTTP server with the connections of its callers.
type testServer struct {
	server *http.Server
	conns  *Conns
	hook   *logtest.Hook
}

// newTestServer returns a server with a handler of the test.
func newTestServer(handler http.HandlerFunc) *testServer {
	log, hook := logtest.NewNullLogger()
	s := &testServer{
		server: &http.Server{Handler: handler, ReadHeaderTimeout: testHeaderTimeout},
		conns:  New(testHeaderTimeout, logrus.NewEntry(log)), hook: hook,
	}
	s.conns.Attach(s.server)
	return s
}

// listen serves callers on a loopback address, which it returns.
func (s *testServer) listen(g *WithT, t *testing.T) string {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	s.serveOn(ln, t)
	return ln.Addr().String()
}

func (s *testServer) serveOn(ln net.Listener, t *testing.T) {
	go func() { _ = s.server.Serve(s.conns.Listen(ln)) }()
	t.Cleanup(func() { _ = s.server.Close() })
}

// logged returns the fields of the lines with a message.
func (s *testServer) logged(message string) []logrus.Fields {
	var lines []logrus.Fields
	for _, entry := range s.hook.AllEntries() {
		if entry.Message == message {
			lines = append(lines, entry.Data)
		}
	}
	return lines
}

func TestAConnectionThatEndsWhileARequestIsReadIsLogged(t *testing.T) {
	g := NewWithT(t)
	s := newTestServer(func(http.ResponseWriter, *http.Request) {})
	conn, err := net.Dial("tcp", s.listen(g, t))
	g.Expect(err).NotTo(HaveOccurred())
	_, err = fmt.Fprint(conn, "GET / HTTP/1.1\r\nHost:")
	g.Expect(err).NotTo(HaveOccurred())
	g.Eventually(s.conns.Count).Should(Equal(map[Phase]int{Reading: 1}))
	g.Expect(conn.Close()).To(Succeed())
	g.Eventually(func() []logrus.Fields { return s.logged("connection ended while a request was read") }).Should(HaveLen(1))
	g.Expect(s.conns.Count()).To(BeEmpty())
}

func TestARequestThatCrossesTheEndOfItsConnectionIsLogged(t *testing.T) {
	g := NewWithT(t)
	s := newTestServer(func(http.ResponseWriter, *http.Request) {})
	conn, err := net.Dial("tcp", s.listen(g, t))
	g.Expect(err).NotTo(HaveOccurred())
	defer conn.Close()
	g.Eventually(s.conns.Count).Should(Equal(map[Phase]int{Idle: 1}))
	s.endIdle(g)
	_, err = fmt.Fprint(conn, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
	g.Expect(err).NotTo(HaveOccurred())
	g.Eventually(func() []logrus.Fields { return s.logged("request crossed the end of its connection") }).
		Should(ConsistOf(HaveKeyWithValue("bytes", int64(27))))
}
