package front_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
)

func TestACallerWhoseBodyStallsIsAnsweredAtTheRoutesTimeout(t *testing.T) {
	for name, head := range map[string]string{
		"with a length": "Content-Length: 4\r\n\r\nxx",
		"in chunks":     "Transfer-Encoding: chunked\r\n\r\n2\r\nxx\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			h := newTestHandler()
			s := httptest.NewServer(h.handler)
			defer s.Close()
			conn, err := net.Dial("tcp", s.Listener.Addr().String())
			g.Expect(err).NotTo(HaveOccurred())
			defer conn.Close()
			_, err = fmt.Fprint(conn, "POST /book/1 HTTP/1.1\r\nHost: h\r\nId: r-1\r\nKey: k\r\n"+head)
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(conn.SetReadDeadline(time.Now().Add(1500 * time.Millisecond))).To(Succeed())
			res, err := http.ReadResponse(bufio.NewReader(conn), nil)
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(res.StatusCode).To(Equal(http.StatusRequestTimeout))
			g.Expect(h.served).To(BeEmpty())
		})
	}
}

// The connection stays usable, and its next request has its own time.
func TestABodysDeadlineEndsWithTheBody(t *testing.T) {
	g := NewWithT(t)
	h := newTestHandler()
	s := httptest.NewServer(h.handler)
	defer s.Close()
	conn, err := net.Dial("tcp", s.Listener.Addr().String())
	g.Expect(err).NotTo(HaveOccurred())
	defer conn.Close()
	answers := bufio.NewReader(conn)
	for range 2 {
		_, err = fmt.Fprint(conn, "POST /book/1 HTTP/1.1\r\nHost: h\r\nId: r-1\r\nKey: k\r\nLeft: 100ms\r\nContent-Length: 1\r\n\r\nx")
		g.Expect(err).NotTo(HaveOccurred())
		res, err := http.ReadResponse(answers, nil)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(res.StatusCode).To(Equal(http.StatusOK))
		time.Sleep(200 * time.Millisecond)
	}
}

func TestARequestIsAcceptedByTheTimeWhenItsBodyIsThere(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		h := newTestHandler()
		r := httptest.NewRequest(http.MethodPost, "http://h/book/1", &slowBody{delay: 500 * time.Millisecond})
		r.Header.Set("Id", "r-1")
		r.Header.Set("Key", "k")
		start := time.Now()
		h.handler.ServeHTTP(httptest.NewRecorder(), r)
		g.Expect(h.acceptedAt.Sub(start)).To(Equal(500 * time.Millisecond))
	})
}

// deadlineRecorder records the first deadline for reading a body.
type deadlineRecorder struct {
	*httptest.ResponseRecorder
	first time.Time
}

func (w *deadlineRecorder) SetReadDeadline(deadline time.Time) error {
	if w.first.IsZero() {
		w.first = deadline
	}
	return nil
}

func TestACallerWhoseBodyStallsIsAnsweredBeforeItLeaves(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		w := &deadlineRecorder{ResponseRecorder: httptest.NewRecorder()}
		r := httptest.NewRequest(http.MethodPost, "http://h/book/1", &slowBody{})
		r.Header = http.Header{"Id": {"r-1"}, "Key": {"k"}, "Left": {"500ms"}}
		start := time.Now()
		newTestHandler().handler.ServeHTTP(w, r)
		g.Expect(w.first.Sub(start)).To(Equal(480 * time.Millisecond))
	})
}

// slowBody is an empty body whose end arrives after a while.
type slowBody struct{ delay time.Duration }

func (b *slowBody) Read([]byte) (int, error) {
	time.Sleep(b.delay)
	return 0, io.EOF
}
