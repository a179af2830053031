package front_test

import (
	"bufio"
	"bytes"
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/sirupsen/logrus"
	logtest "github.com/sirupsen/logrus/hooks/test"

	"wisteriafield/internal/caller/http1"
	"wisteriafield/internal/config/routes"
)

// On the connections of a router too, a caller that sends its whole body before it reads gets the
// refusal.
func TestARefusalIsNotLostOnTheConnectionsOfARouter(t *testing.T) {
	const size = 12 << 20
	for name, c := range map[string]struct {
		table   *routes.Table
		framing string
		status  int
	}{
		"no configuration":     {nil, fmt.Sprintf("Content-Length: %d\r\n\r\n", size), http.StatusServiceUnavailable},
		"no route":             {routes.NewTable(routes.Config{}), fmt.Sprintf("Content-Length: %d\r\n\r\n", size), http.StatusNotFound},
		"no route, in chunks":  {routes.NewTable(routes.Config{}), fmt.Sprintf("Transfer-Encoding: chunked\r\n\r\n%x\r\n", size+1), http.StatusNotFound},
		"too large, announced": {newLargeHandler().table, fmt.Sprintf("Content-Length: %d\r\n\r\n", 1<<40), http.StatusRequestEntityTooLarge},
		"too large, only sent": {newLargeHandler().table, fmt.Sprintf("Transfer-Encoding: chunked\r\n\r\n%x\r\n", 1<<40), http.StatusRequestEntityTooLarge},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			g := NewWithT(t)
			h := newTestHandler()
			h.table = c.table
			log, _ := logtest.NewNullLogger()
			conns := http1.New(5*time.Second, logrus.NewEntry(log))
			s := &http.Server{Handler: h.handler}
			conns.Attach(s)
			ln, err := net.Listen("tcp", "127.0.0.1:0")
			g.Expect(err).NotTo(HaveOccurred())
			go func() { _ = s.Serve(conns.Listen(ln)) }()
			t.Cleanup(func() { _ = s.Close() })
			conn, err := net.Dial("tcp", ln.Addr().String())
			g.Expect(err).NotTo(HaveOccurred())
			defer conn.Close()
			_, err = fmt.Fprintf(conn, "POST /book/1 HTTP/1.1\r\nHost: h\r\nId: r-1\r\n%s", c.framing)
			g.Expect(err).NotTo(HaveOccurred())
			_, err = conn.Write(bytes.Repeat([]byte("x"), size))
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(conn.SetReadDeadline(time.Now().Add(5 * time.Second))).To(Succeed())
			res, err := http.ReadResponse(bufio.NewReader(conn), nil)
			g.Expect(err).NotTo(HaveOccurred())
			defer res.Body.Close()
			g.Expect([]any{res.StatusCode, res.Close}).To(Equal([]any{c.status, true}))
			_ = conn.Close()
			g.Eventually(conns.Count, 5*time.Second).Should(BeEmpty())
		})
	}
}
