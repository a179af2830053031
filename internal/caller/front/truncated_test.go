package front_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

func TestARequestThatEndsAtAnyByteIsNotPassedOn(t *testing.T) {
	for _, path := range []string{"/book/1", "/draft/1"} {
		head := "POST " + path + " HTTP/1.1\r\nHost: h\r\nId: r-1\r\nKey: k\r\n"
		for framing, request := range map[string]string{
			"length":          head + "Content-Length: 10\r\n\r\nhelloworld",
			"chunks":          head + "Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n5\r\nworld\r\n0\r\n\r\n",
			"chunks, trailer": head + "Trailer: Sum\r\nTransfer-Encoding: chunked\r\n\r\na;x=1\r\nhelloworld\r\n0\r\nSum: 1\r\n\r\n",
			"no body":         head + "\r\n",
		} {
			t.Run(path+", "+framing, func(t *testing.T) {
				t.Parallel()
				g := NewWithT(t)
				h := newTestHandler()
				s := httptest.NewServer(h.handler)
				defer s.Close()
				// send sends bytes, ends the sending unless they are a whole request, and
				// returns when the router has answered.
				send := func(text string) {
					conn, err := net.Dial("tcp", s.Listener.Addr().String())
					g.Expect(err).NotTo(HaveOccurred())
					defer conn.Close()
					g.Expect(conn.SetDeadline(time.Now().Add(5 * time.Second))).To(Succeed())
					_, err = io.WriteString(conn, text)
					g.Expect(err).NotTo(HaveOccurred())
					if text == request {
						_, err = http.ReadResponse(bufio.NewReader(conn), nil)
						g.Expect(err).NotTo(HaveOccurred())
						return
					}
					g.Expect(conn.(*net.TCPConn).CloseWrite()).To(Succeed())
					_, err = io.Copy(io.Discard, conn)
					g.Expect(err).NotTo(HaveOccurred())
				}
				for n := range request {
					send(request[:n])
					g.Expect(h.served).To(BeEmpty(), "after %q", request[:n])
				}
				send(request)
				g.Expect(h.served).To(HaveLen(1), "whole")
			})
		}
	}
}
