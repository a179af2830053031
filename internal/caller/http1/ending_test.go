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

func TestConnectionsOfCallersWhoNeverCloseThemEnd(t *testing.T) {
	g := NewWithT(t)
	s := newTestServer(func(http.ResponseWriter, *http.Request) {})
	address := s.listen(g, t)
	const callers = 200
	for i := range callers {
		conn, err := net.Dial("tcp", address)
		g.Expect(err).NotTo(HaveOccurred())
		defer conn.Close()
		if i%2 == 0 {
			_, _ = fmt.Fprint(conn, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
		}
	}
	g.Eventually(s.conns.Count).Should(Equal(map[Phase]int{Idle: callers}))
	g.Eventually(func() map[Phase]int {
		s.conns.closeIdle(time.Now())
		return s.conns.Count()
	}, minIdle+2*lingerTime).Should(BeEmpty())
}

func TestRequestsOnOneConnectionAreAnsweredWhileIdleOnesAreClosed(t *testing.T) {
	for name, text := range map[string]string{
		"pipelined":      "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\n\r\nxPOST / HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\n\r\nx",
		"HTTP/1.0":       "POST / HTTP/1.0\r\nConnection: keep-alive\r\nContent-Length: 1\r\n\r\nxPOST / HTTP/1.0\r\nContent-Length: 1\r\n\r\nx",
		"asks to go on":  "POST / HTTP/1.1\r\nHost: h\r\nExpect: 100-continue\r\nContent-Length: 1\r\n\r\nxPOST / HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\n\r\nx",
		"answered early": "POST /early HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\n\r\nxPOST / HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\n\r\nx",
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			g := NewWithT(t)
			s := newTestServer(func(w http.ResponseWriter, r *http.Request) {
				time.Sleep(minIdle + 100*time.Millisecond)
				if r.URL.Path != "/early" {
					_, _ = io.Copy(w, r.Body)
				}
			})
			conn, err := net.Dial("tcp", s.listen(g, t))
			g.Expect(err).NotTo(HaveOccurred())
			defer conn.Close()
			stop := make(chan bool)
			defer close(stop)
			go func() {
				for {
					select {
					case <-stop:
						return
					case <-time.After(time.Millisecond):
						s.conns.closeIdle(time.Now())
					}
				}
			}()
			_, _ = fmt.Fprint(conn, text)
			answers := bufio.NewReader(conn)
			for range 2 {
				res, err := http.ReadResponse(answers, nil)
				g.Expect(err).NotTo(HaveOccurred())
				if res.StatusCode == http.StatusContinue {
					res, err = http.ReadResponse(answers, nil)
					g.Expect(err).NotTo(HaveOccurred())
				}
				_, _ = io.ReadAll(res.Body)
				g.Expect(res.StatusCode).To(Equal(http.StatusOK))
			}
		})
	}
}
