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

const testTimeout = 5 * time.Second

// dial opens a connection and sends text. The connection is closed at the end of the test.
func dial(g *WithT, t *testing.T, address, text string) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp", address)
	g.Expect(err).NotTo(HaveOccurred())
	t.Cleanup(func() { _ = conn.Close() })
	g.Expect(conn.SetDeadline(time.Now().Add(testTimeout))).To(Succeed())
	_, err = io.WriteString(conn, text)
	g.Expect(err).NotTo(HaveOccurred())
	return conn
}

// answerStatus returns the status of the next answer, 0 if the connection ends without one.
func answerStatus(conn net.Conn) int {
	res, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return 0
	}
	return res.StatusCode
}

// A client that comes again at once after a refusal held as many connections as it could open.
func TestConnectionsThatLingerHaveABound(t *testing.T) {
	g := NewWithT(t)
	s := newTestServer(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusRequestEntityTooLarge) })
	address := s.listen(g, t)
	for range 4 * maxRefusals {
		dial(g, t, address, fmt.Sprintf("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n", 1<<40))
	}
	g.Expect(s.conns.Count()[Closing]).To(BeNumerically("<", 3*maxRefusals/2))
	g.Eventually(s.conns.Count, testTimeout).Should(BeEmpty())
}

// net/http waits without end for the rest of a small body after its answer.
func TestABodyThatStallsAfterItsAnswerEndsItsConnection(t *testing.T) {
	g := NewWithT(t)
	s := newTestServer(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusNotFound) })
	conn := dial(g, t, s.listen(g, t), "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 100\r\n\r\nx")
	g.Expect(answerStatus(conn)).To(Equal(http.StatusNotFound))
	g.Eventually(s.conns.Count, testTimeout).Should(BeEmpty())
}

// The answer to a request that is not read is whole, and its caller may still be sending.
func TestARefusalOfARequestThatIsNotReadIsWhole(t *testing.T) {
	for name, head := range map[string]string{
		"length": "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 12000000\r\n\r\n",
		"chunks": "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n1000000\r\n",
		"waits":  "POST / HTTP/1.1\r\nHost: h\r\nExpect: 100-continue\r\nContent-Length: 12000000\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			g := NewWithT(t)
			s := newTestServer(func(w http.ResponseWriter, _ *http.Request) {
				w.Header().Set("Retry-After", "2")
				w.WriteHeader(http.StatusServiceUnavailable)
				_, _ = io.WriteString(w, "come again")
			})
			conn := dial(g, t, s.listen(g, t), head)
			_, err := conn.Write(make([]byte, 12_000_000))
			g.Expect(err).NotTo(HaveOccurred())
			res, err := http.ReadResponse(bufio.NewReader(conn), nil)
			g.Expect(err).NotTo(HaveOccurred())
			body, err := io.ReadAll(res.Body)
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(string(body)).To(Equal("come again"))
			g.Expect([]any{res.StatusCode, res.Header.Get("Retry-After"), res.Close}).To(Equal([]any{http.StatusServiceUnavailable, "2", true}))
			_ = conn.Close()
			g.Eventually(s.conns.Count, testTimeout).Should(BeEmpty())
		})
	}
}
