package openai_test

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"wisteriafield/internal/caller/openai"
	"wisteriafield/internal/decision/answermemory"
)

// wrappedWriter hides the methods of net/http's writer, like that of package http1.
type wrappedWriter struct{ http.ResponseWriter }

func (w wrappedWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

// A caller who waited for the answer before it sent the rest got it after the timeout only.
func TestABodyThatIsTooLargeIsRefusedBeforeItsEnd(t *testing.T) {
	for name, request := range map[string]string{
		"chunked": "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n14\r\n01234567890123456789\r\n",
		"length":  "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 100000\r\n\r\n01234567890123456789",
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			g := NewWithT(t)
			s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				w = wrappedWriter{w}
				_, refusal := openai.Bodies{MaxBytes: 10, Timeout: 10 * time.Second, Memory: answermemory.New(1 << 20)}.Read(w, r)
				refusal.Write(w)
			}))
			t.Cleanup(s.Close)
			conn, err := net.Dial("tcp", s.Listener.Addr().String())
			g.Expect(err).NotTo(HaveOccurred())
			defer conn.Close()
			_, err = fmt.Fprint(conn, request)
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(conn.SetReadDeadline(time.Now().Add(5 * time.Second))).To(Succeed())
			res, err := http.ReadResponse(bufio.NewReader(conn), nil)
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(res.StatusCode).To(Equal(http.StatusRequestEntityTooLarge))
		})
	}
}

// Bodies had a bound each and none of all.
func TestBodiesShareABound(t *testing.T) {
	g := NewWithT(t)
	bodies := openai.Bodies{MaxBytes: 1 << 20, Timeout: 10 * time.Second, Memory: answermemory.New(1 << 20)}
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, refusal := bodies.Read(wrappedWriter{w}, r)
		if refusal != nil {
			refusal.Write(w)
			return
		}
		defer body.Release()
		_, _ = w.Write(body.Bytes())
	}))
	t.Cleanup(s.Close)
	var conns []net.Conn
	for range 2 {
		conn, err := net.Dial("tcp", s.Listener.Addr().String())
		g.Expect(err).NotTo(HaveOccurred())
		t.Cleanup(func() { _ = conn.Close() })
		_, err = fmt.Fprintf(conn, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 900001\r\n\r\n%s", strings.Repeat("x", 900_000))
		g.Expect(err).NotTo(HaveOccurred())
		conns = append(conns, conn)
	}
	answers := make(chan int, len(conns))
	for _, conn := range conns {
		go func() {
			res, err := http.ReadResponse(bufio.NewReader(conn), nil)
			if err == nil {
				answers <- res.StatusCode
			}
		}()
	}
	g.Eventually(answers).WithTimeout(5 * time.Second).Should(Receive(Equal(http.StatusServiceUnavailable)))
	res, err := http.Post("http://"+s.Listener.Addr().String(), "text/plain", strings.NewReader("small"))
	g.Expect(err).NotTo(HaveOccurred())
	_ = res.Body.Close()
	g.Expect(res.StatusCode).To(Equal(http.StatusOK))
}

// A body that does not arrive was a bad request, which callers do not send again.
func TestABodyThatDoesNotArriveHasNotRun(t *testing.T) {
	g := NewWithT(t)
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, refusal := openai.Bodies{MaxBytes: 100, Timeout: 50 * time.Millisecond, Memory: answermemory.New(1 << 20)}.Read(wrappedWriter{w}, r)
		refusal.Write(w)
	}))
	t.Cleanup(s.Close)
	conn, err := net.Dial("tcp", s.Listener.Addr().String())
	g.Expect(err).NotTo(HaveOccurred())
	defer conn.Close()
	_, err = fmt.Fprint(conn, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 100\r\n\r\nx")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(conn.SetReadDeadline(time.Now().Add(5 * time.Second))).To(Succeed())
	res, err := http.ReadResponse(bufio.NewReader(conn), nil)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(res.StatusCode).To(Equal(http.StatusServiceUnavailable))
	g.Expect(res.Header.Get("Retry-After")).NotTo(BeEmpty())
	g.Expect(res.Close).To(BeTrue())
}
