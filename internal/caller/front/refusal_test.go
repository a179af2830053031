package front_test

import (
	"bufio"
	"bytes"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"wisteriafield/internal/config/routes"
)

func TestARefusalIsNotLostToACallerWhoIsStillSendingItsBody(t *testing.T) {
	const size = 12 << 20 // more than the buffers of a loopback connection
	for name, c := range map[string]struct {
		table  *routes.Table
		status int
	}{
		"no configuration": {nil, http.StatusServiceUnavailable},
		"no route":         {routes.NewTable(routes.Config{}), http.StatusNotFound},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			h := newTestHandler()
			h.table = c.table
			s := httptest.NewServer(h.handler)
			defer s.Close()
			conn, err := net.Dial("tcp", s.Listener.Addr().String())
			g.Expect(err).NotTo(HaveOccurred())
			defer conn.Close()
			_, err = fmt.Fprintf(conn, "POST /none/ HTTP/1.1\r\nHost: h\r\nId: r-1\r\nContent-Length: %d\r\n\r\n", size)
			g.Expect(err).NotTo(HaveOccurred())
			_, err = conn.Write(bytes.Repeat([]byte("x"), size))
			g.Expect(err).NotTo(HaveOccurred())
			res, err := http.ReadResponse(bufio.NewReader(conn), nil)
			g.Expect(err).NotTo(HaveOccurred())
			defer res.Body.Close()
			g.Expect(res.StatusCode).To(Equal(c.status))
		})
	}
}

func TestARefusalDoesNotWaitForABodyThatStalls(t *testing.T) {
	g := NewWithT(t)
	h := newTestHandler()
	h.table = nil
	s := httptest.NewServer(h.handler)
	defer s.Close()
	conn, err := net.Dial("tcp", s.Listener.Addr().String())
	g.Expect(err).NotTo(HaveOccurred())
	defer conn.Close()
	_, err = fmt.Fprint(conn, "POST /book/1 HTTP/1.1\r\nHost: h\r\nId: r-1\r\nContent-Length: 400000\r\n\r\nxx")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(conn.SetReadDeadline(time.Now().Add(2 * time.Second))).To(Succeed())
	res, err := http.ReadResponse(bufio.NewReader(conn), nil)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(res.StatusCode).To(Equal(http.StatusServiceUnavailable))
}
