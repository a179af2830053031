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
	"github.com/sirupsen/logrus"
)

// request sends a request on a connection of its own, which it returns.
func (s *testServer) request(g *WithT, t *testing.T) net.Conn {
	conn, err := net.Dial("tcp", s.listen(g, t))
	g.Expect(err).NotTo(HaveOccurred())
	t.Cleanup(func() { _ = conn.Close() })
	_, err = fmt.Fprint(conn, "GET /a HTTP/1.1\r\nHost: h\r\nId: r-1\r\n\r\n")
	g.Expect(err).NotTo(HaveOccurred())
	return conn
}

func TestAConnectionThatEndsWithARequestAndNoAnswerIsLogged(t *testing.T) {
	for name, end := range map[string]func(s *testServer){
		"handler aborts":        func(*testServer) {},
		"server is closed":      func(s *testServer) { s.conns.LogUnanswered(); _ = s.server.Close() },
		"server is just closed": func(s *testServer) { _ = s.server.Close() },
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			begun, abort := make(chan bool), make(chan bool)
			s := newTestServer(func(http.ResponseWriter, *http.Request) {
				close(begun)
				<-abort
				panic(http.ErrAbortHandler)
			})
			s.conns.RequestID = func(r *http.Request) string { return r.Header.Get("Id") }
			s.request(g, t)
			<-begun
			end(s)
			close(abort)
			lines := func() []logrus.Fields { return s.logged("connection ended without an answer") }
			g.Eventually(lines).Should(ConsistOf(And(HaveKeyWithValue("id", "r-1"), HaveKeyWithValue("bytes", 37))))
			g.Consistently(lines, 50*time.Millisecond).Should(HaveLen(1))
		})
	}
}

func TestAConnectionThatEndsAfterAnAnswerIsNotLogged(t *testing.T) {
	g := NewWithT(t)
	s := newTestServer(func(w http.ResponseWriter, _ *http.Request) { w.Header().Set("Connection", "close") })
	conn := s.request(g, t)
	_, err := http.ReadResponse(bufio.NewReader(conn), nil)
	g.Expect(err).NotTo(HaveOccurred())
	g.Eventually(s.conns.Count).Should(BeEmpty())
	g.Expect(s.logged("connection ended without an answer")).To(BeEmpty())
}

// A 100 is no answer.
func TestAConnectionThatEndsWithNothingButAContinueIsLogged(t *testing.T) {
	g := NewWithT(t)
	s := newTestServer(func(_ http.ResponseWriter, r *http.Request) {
		_, _ = io.ReadAll(r.Body)
		panic(http.ErrAbortHandler)
	})
	conn, err := net.Dial("tcp", s.listen(g, t))
	g.Expect(err).NotTo(HaveOccurred())
	defer conn.Close()
	_, err = fmt.Fprint(conn, "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\nExpect: 100-continue\r\n\r\nab")
	g.Expect(err).NotTo(HaveOccurred())
	g.Eventually(func() []logrus.Fields { return s.logged("connection ended without an answer") }).Should(HaveLen(1))
}
