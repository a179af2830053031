package connpool_test

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"wisteriafield/internal/backend/connpool"
)

const namedAnswer = "HTTP/1.1 200 OK\r\nRequest-Id: a1\r\nContent-Length: 2\r\n\r\nok"

// send sends a request whose answers name a1, and returns whether it was sent on a kept connection.
func send(c *connpool.Client, address, id string, mayRepeat bool) (reused bool, err error) {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	res, reused, err := c.Send(ctx, connpool.Request{
		Address: address, ID: id, MayRepeat: func() bool { return mayRepeat },
		NewRequest: func() (*http.Request, error) { return http.NewRequest(http.MethodGet, "http://"+address+"/", nil) },
		Named:      func(res *http.Response) bool { return res.Header.Get("Request-Id") == "a1" },
	})
	if err != nil {
		return reused, err
	}
	defer res.Body.Close()
	_, err = io.Copy(io.Discard, res.Body)
	return reused, err
}

// Guards against an answer that belongs to another request, another attempt of the same ID or a
// control call, and against a connection whose answers can't be attributed.
func TestRequestsReuseOnlyConnectionsWhoseAnswersCanBeAttributed(t *testing.T) {
	g := NewWithT(t)
	f := newFake(t, always(namedAnswer))
	client := newClient(f)
	g.Expect(call(client, f, 5*time.Second, "")).To(Equal("ok"))
	g.Expect(send(client, f.address, "a1", true)).To(BeFalse(), "the kept one carried a control call")
	g.Expect(send(client, f.address, "a2", true)).To(BeTrue())
	g.Expect(send(client, f.address, "a1", true)).To(BeFalse(), "the kept one carried an attempt of this ID")

	unnamed := newFake(t, always(answer))
	client = newClient(unnamed)
	g.Expect(send(client, unnamed.address, "a1", true)).To(BeFalse())
	g.Expect(send(client, unnamed.address, "a2", true)).To(BeFalse(), "its answer named no request")
}

// A second sending counts as a retry, and the budget of the fleet may have none.
func TestARequestIsSentAgainOnlyIfItMayBe(t *testing.T) {
	g := NewWithT(t)
	f := newFake(t, func(_ int64, conn net.Conn, r *bufio.Reader) {
		for i := 0; readRequest(r) && i < 1; i++ {
			_, _ = io.WriteString(conn, namedAnswer)
		}
		_ = conn.Close()
	})
	client := newClient(f)
	g.Expect(send(client, f.address, "a1", false)).To(BeFalse())
	_, err := send(client, f.address, "a2", false)
	g.Expect(err).To(HaveOccurred())
	g.Expect(f.opened.Load()).To(BeEquivalentTo(1))
	g.Expect(send(client, f.address, "a3", true)).To(BeFalse())
	g.Expect(send(client, f.address, "a4", true)).To(BeFalse(), "sent again")
	g.Expect(f.opened.Load()).To(BeEquivalentTo(3))
}

// A request that may have run was reported as not sent if no second connection could be opened.
func TestOnlyAFirstConnectionThatFailsMeansNotSent(t *testing.T) {
	g := NewWithT(t)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	go func() {
		conn, err := ln.Accept()
		if err != nil {
			return
		}
		defer conn.Close()
		r := bufio.NewReader(conn)
		_ = readRequest(r)
		_, _ = io.WriteString(conn, namedAnswer)
		_ = readRequest(r)
		_ = ln.Close()
	}()
	client := newClient(&fake{address: ln.Addr().String()})
	_, err = send(client, ln.Addr().String(), "a1", true)
	g.Expect(err).NotTo(HaveOccurred())
	_, err = send(client, ln.Addr().String(), "a2", true)
	g.Expect(err).To(HaveOccurred())
	g.Expect(errors.Is(err, connpool.ErrNotOpened)).To(BeFalse())
	_, err = send(client, ln.Addr().String(), "a3", true)
	g.Expect(err).To(MatchError(connpool.ErrNotOpened))
}
