package front_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/sirupsen/logrus"

	"wisteriafield/internal/backend/server"
	"wisteriafield/internal/caller/front"
	"wisteriafield/internal/caller/http1"
	"wisteriafield/internal/config/routes"
	"wisteriafield/internal/decision/answermemory"
)

// largeServer writes 64 MB to requests with a body, and records when a write failed.
type largeServer struct{ failed chan time.Time }

func (s largeServer) Serve(w http.ResponseWriter, _ context.Context, req *server.Request, _ *routes.Service) {
	if len(req.Body) == 0 {
		return
	}
	for range 64 {
		if _, err := w.Write(make([]byte, 1<<20)); err != nil {
			s.failed <- time.Now()
			return
		}
	}
}

func serveLarge(t *testing.T) (address string, failed chan time.Time) {
	table := routes.NewTable(routes.Config{
		Version:  3,
		Routes:   []routes.Route{{Host: "h", Prefix: "/draft/", Kind: routes.Streaming, Timeout: 200 * time.Millisecond, Split: []routes.Share{{Service: "engines", Weight: 1}}}},
		Services: []routes.Service{{Name: "engines"}},
	})
	log := logrus.New()
	log.SetOutput(io.Discard)
	large := largeServer{make(chan time.Time, 1)}
	s := &http.Server{Handler: front.New(front.Config{
		Protocol: fakeProtocol{}, Table: func() *routes.Table { return table }, Streaming: large, NonStreaming: large, RetryBudget: noRetryBudget{},
		Accepts: func(*server.Request, time.Time) bool { return true }, Stopping: func() bool { return false },
		Memory: answermemory.New(1 << 20), Log: log.WithField("part", "front"),
	})}
	conns := http1.New(0, log.WithField("part", "callers"))
	conns.Attach(s)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	go func() { _ = http1.Serve(s, conns.Listen(ln)) }()
	t.Cleanup(func() { _ = s.Close() })
	return ln.Addr().String(), large.failed
}

// A caller that read nothing held its answer without end.
func TestAnAnswerIsNotWrittenLongAfterItsDeadline(t *testing.T) {
	g := NewWithT(t)
	address, failed := serveLarge(t)
	conn, err := net.Dial("tcp", address)
	g.Expect(err).NotTo(HaveOccurred())
	defer conn.Close()
	_, err = io.WriteString(conn, "POST /draft/1 HTTP/1.1\r\nHost: h\r\nId: r-1\r\nContent-Length: 1\r\n\r\nx")
	g.Expect(err).NotTo(HaveOccurred())
	g.Eventually(failed).WithTimeout(20 * time.Second).Should(Receive())
}

// The bound of one answer must not reach the next one on its connection.
func TestAConnectionIsUsedAgainAfterTheBoundOfItsLastAnswer(t *testing.T) {
	g := NewWithT(t)
	address, _ := serveLarge(t)
	conn, err := net.Dial("tcp", address)
	g.Expect(err).NotTo(HaveOccurred())
	defer conn.Close()
	r := bufio.NewReader(conn)
	for i, path := range []string{"/draft/1", "/none/1"} { // the second one has no bound of its own
		if i > 0 {
			time.Sleep(2500 * time.Millisecond)
		}
		_, err = io.WriteString(conn, "GET "+path+" HTTP/1.1\r\nHost: h\r\nId: r-1\r\n\r\n")
		g.Expect(err).NotTo(HaveOccurred())
		res, err := http.ReadResponse(r, nil)
		g.Expect(err).NotTo(HaveOccurred())
		_, err = io.Copy(io.Discard, res.Body)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(res.StatusCode).To(Equal([]int{200, 404}[i]))
	}
}
