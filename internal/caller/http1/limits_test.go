package http1

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"wisteriafield/internal/decision/connlimit"
)

const testConnections = 32

// newLimitedServer returns a server with a bound on its connections.
func newLimitedServer(handler http.HandlerFunc) *testServer {
	s := newTestServer(handler)
	s.conns.Limits = Limits{Connections: testConnections}
	return s
}

// Clients that hold connections left none for others.
func TestConnectionsThatAreNotInUseGiveWay(t *testing.T) {
	for name, c := range map[string]struct {
		text   string
		status int // of what gives way
	}{
		"open and silent":      {"", 0},
		"header stopped short": {"POST / HTTP/1.1\r\nHost: h\r\n", http.StatusRequestTimeout},
		"length":               {"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 100\r\n\r\nx", http.StatusBadRequest},
		"chunks":               {"POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n64\r\nx", http.StatusBadRequest},
		"answered":             {"GET / HTTP/1.1\r\nHost: h\r\n\r\n", http.StatusOK},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			g := NewWithT(t)
			s := newLimitedServer(func(w http.ResponseWriter, r *http.Request) {
				if _, err := io.Copy(io.Discard, r.Body); err != nil {
					w.Header().Set("Connection", "close")
					w.WriteHeader(http.StatusBadRequest)
				}
			})
			address := s.listen(g, t)
			var crowd []net.Conn
			for range 4 * testConnections {
				crowd = append(crowd, dial(g, t, address, c.text))
				time.Sleep(10 * time.Millisecond)
				g.Expect(s.conns.n.Load()).To(BeNumerically("<=", testConnections))
			}
			g.Expect(answerStatus(dial(g, t, address, "GET / HTTP/1.1\r\nHost: h\r\n\r\n"))).To(Equal(http.StatusOK))
			g.Expect(answerStatus(crowd[0])).To(Equal(c.status))
			g.Eventually(s.logged).WithArguments("connections ended to accept others").ShouldNot(BeEmpty())
		})
	}
}

func TestARequestThatIsServedDoesNotGiveWay(t *testing.T) {
	g := NewWithT(t)
	release := make(chan bool)
	s := newLimitedServer(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		<-release
	})
	address := s.listen(g, t)
	var served []net.Conn
	for range testConnections {
		served = append(served, dial(g, t, address, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\n\r\nx"))
	}
	g.Eventually(s.conns.Count, testTimeout).Should(Equal(map[Phase]int{Serving: testConnections}))
	time.Sleep(200 * time.Millisecond)
	g.Expect(answerStatus(dial(g, t, address, "GET / HTTP/1.1\r\nHost: h\r\n\r\n"))).To(BeZero(), "no room")
	close(release)
	for _, conn := range served {
		g.Expect(answerStatus(conn)).To(Equal(http.StatusOK))
	}
	g.Eventually(func() int { return answerStatus(dial(g, t, address, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")) }, testTimeout).Should(Equal(http.StatusOK))
}

// A connection that always has a next request would never give way.
func TestConnectionsGiveWayBetweenRequests(t *testing.T) {
	const request = "GET / HTTP/1.1\r\nHost: h\r\n\r\n"
	g := NewWithT(t)
	s := newLimitedServer(func(http.ResponseWriter, *http.Request) { time.Sleep(20 * time.Millisecond) })
	address := s.listen(g, t)
	for range testConnections {
		dial(g, t, address, strings.Repeat(request, int(2*testTimeout/(20*time.Millisecond))))
	}
	g.Eventually(func() int { return answerStatus(dial(g, t, address, request)) }, testTimeout).Should(Equal(http.StatusOK))
}

func TestAnswersSayThatTheirConnectionsGiveWay(t *testing.T) {
	answer := strings.Repeat("a", 64<<10)
	for name, others := range map[string]bool{"with others that wait": true, "without": false} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			release := make(chan bool)
			s := newLimitedServer(func(w http.ResponseWriter, _ *http.Request) {
				<-release
				_, _ = io.WriteString(w, answer)
			})
			address := s.listen(g, t)
			var conns []net.Conn
			for range testConnections {
				conns = append(conns, dial(g, t, address, "GET / HTTP/1.1\r\nHost: h\r\n\r\n"))
			}
			g.Eventually(s.conns.Count, testTimeout).Should(Equal(map[Phase]int{Serving: testConnections}))
			if others {
				g.Expect(answerStatus(dial(g, t, address, ""))).To(BeZero())
			}
			close(release)
			announced := 0
			for _, conn := range conns {
				res, err := http.ReadResponse(bufio.NewReader(conn), nil)
				g.Expect(err).NotTo(HaveOccurred())
				g.Expect(io.Copy(io.Discard, res.Body)).To(BeEquivalentTo(len(answer)))
				if res.Close {
					announced++
				}
			}
			g.Expect(announced > 0).To(Equal(others))
			g.Eventually(s.conns.n.Load, testTimeout).Should(BeEquivalentTo(testConnections - announced))
		})
	}
}

// A request whose last bytes had been read when its connection was to end is served.
func TestARequestThatIsCompleteAfterAllIsServed(t *testing.T) {
	g := NewWithT(t)
	served := make(chan error, 1)
	var s *testServer
	s = newLimitedServer(func(w http.ResponseWriter, r *http.Request) {
		s.conns.each((*callerConn).endForOthers)
		_, _ = io.Copy(io.Discard, r.Body)
		time.Sleep(100 * time.Millisecond)
		served <- r.Context().Err()
	})
	conn := dial(g, t, s.listen(g, t), "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\n\r\nx")
	g.Expect(answerStatus(conn)).To(Equal(http.StatusOK))
	g.Expect(served).To(Receive(BeNil()))
}

// A stop accepts what is in the kernel's queue, which may be more than a host can hold.
func TestAStopAcceptsNoMoreThanTheLimit(t *testing.T) {
	g := NewWithT(t)
	s := newLimitedServer(func(http.ResponseWriter, *http.Request) {})
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	defer ln.Close()
	s.conns.Listen(ln)
	for range 3 * testConnections {
		dial(g, t, ln.Addr().String(), "")
	}
	s.conns.stopAccepting()
	g.Expect(s.conns.queued).To(HaveLen(testConnections))
}

// The kernel let the receive buffer of a connection grow to megabytes.
func TestWhatIsNotReadHasABound(t *testing.T) {
	g := NewWithT(t)
	release := make(chan bool)
	s := newTestServer(func(http.ResponseWriter, *http.Request) { <-release })
	s.conns.Limits.ReceiveBytes = 32 << 10
	t.Cleanup(func() { close(release) })
	conn := dial(g, t, s.listen(g, t), "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
	g.Expect(conn.(*net.TCPConn).SetWriteBuffer(32 << 10)).To(Succeed())
	sent := 0
	for err := error(nil); err == nil; {
		g.Expect(conn.SetWriteDeadline(time.Now().Add(300 * time.Millisecond))).To(Succeed())
		var n int
		n, err = conn.Write(make([]byte, 4<<10))
		sent += n
	}
	g.Expect(sent).To(BeNumerically("<", 256<<10))
}

func headerOf(lines int) string {
	return "GET / HTTP/1.1\r\nHost: h\r\n" + strings.Repeat("x: \r\n", lines)
}

// A header of short lines takes many times its size.
func TestHeadersShareABound(t *testing.T) {
	const lines, memory = 500, 4 << 20
	for name, end := range map[string]string{"complete": "\r\n", "stopped short": ""} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			g := NewWithT(t)
			release := make(chan bool)
			s := newTestServer(func(w http.ResponseWriter, r *http.Request) {
				if r.Header.Get("X") == "" && len(r.Header["X"]) > 0 {
					<-release
				}
			})
			s.server.ReadHeaderTimeout, s.conns.headerTimeout = 0, 0
			s.conns.Limits.HeaderMemory = connlimit.NewMemory(memory)
			address := s.listen(g, t)
			var conns []net.Conn
			for range 100 {
				conns = append(conns, dial(g, t, address, headerOf(lines)+end))
			}
			g.Eventually(func() int64 { return s.conns.Limits.HeaderMemory.Used() }, testTimeout).Should(BeNumerically(">", memory/2))
			g.Expect(answerStatus(dial(g, t, address, "GET / HTTP/1.1\r\nHost: h\r\n\r\n"))).To(Equal(http.StatusOK), "a small one does not count")
			statuses := make(chan int, len(conns))
			for _, conn := range conns {
				go func() { statuses <- answerStatus(conn) }()
			}
			refused := 0
			g.Eventually(func() int {
				for len(statuses) > 0 {
					g.Expect(<-statuses).To(BeElementOf(http.StatusServiceUnavailable, http.StatusRequestTimeout))
					refused++
				}
				return refused
			}, testTimeout).Should(BeNumerically(">", 50), "while the others keep their memory")
			close(release)
			for _, conn := range conns {
				_ = conn.Close()
			}
			g.Eventually(func() int64 { return s.conns.Limits.HeaderMemory.Used() }, testTimeout).Should(BeZero())
		})
	}
}
