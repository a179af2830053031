package liveness_test

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"wisteriafield/internal/backend/liveness"
)

// Guards against an address that something else holds after the end of its server, and whose accepted
// connections pass for a sign of life.
func TestOnlyAConnectionThatStaysOpenShowsAListener(t *testing.T) {
	for _, c := range []struct {
		name    string
		serve   func(conn *net.TCPConn)
		listens bool
		known   bool
		closed  bool
	}{
		{name: "it waits for a request", serve: func(*net.TCPConn) {}, listens: true, known: true},
		{name: "it sends at once", serve: func(conn *net.TCPConn) { _, _ = conn.Write([]byte("hello")) }, listens: true, known: true},
		{name: "it closes the connection", serve: func(conn *net.TCPConn) { _ = conn.Close() }, closed: true},
		{name: "it resets the connection, as a full server does", serve: func(conn *net.TCPConn) {
			_ = conn.SetLinger(0)
			_ = conn.Close()
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			ln, err := net.Listen("tcp", "127.0.0.1:0")
			g.Expect(err).NotTo(HaveOccurred())
			var held []net.Conn // until the test has ended
			done := make(chan bool)
			go func() {
				defer close(done)
				for {
					conn, err := ln.Accept()
					if err != nil {
						return
					}
					held = append(held, conn)
					c.serve(conn.(*net.TCPConn))
				}
			}()
			defer func() {
				_ = ln.Close()
				<-done
				for _, conn := range held {
					_ = conn.Close()
				}
			}()
			ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
			defer cancel()
			listens, err := liveness.Listens(ctx, new(net.Dialer).DialContext, ln.Addr().String())
			g.Expect(listens).To(Equal(c.listens))
			g.Expect(err == nil).To(Equal(c.known))
			g.Expect(errors.Is(err, liveness.ErrClosed)).To(Equal(c.closed))
		})
	}
}

func TestAnAddressWithoutAListenerRefusesConnections(t *testing.T) {
	g := NewWithT(t)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(ln.Close()).To(Succeed())
	listens, err := liveness.Listens(t.Context(), new(net.Dialer).DialContext, ln.Addr().String())
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(listens).To(BeFalse())
}

// Guards against a connection that something else accepts at the address of a server that has ended, and
// that passes for its answer.
func TestAskTellsAnAnswerFromAnAcceptedConnection(t *testing.T) {
	for _, c := range []struct {
		name   string
		serve  func(conn net.Conn)
		status int
		err    error
	}{
		{"it answers", func(conn net.Conn) { _, _ = io.WriteString(conn, "HTTP/1.1 204 No Content\r\n\r\n") }, 204, nil},
		{"it closes the connection", func(conn net.Conn) { _ = conn.Close() }, 0, liveness.ErrClosed},
		{"it closes the connection after the request", func(conn net.Conn) {
			_, _ = conn.Read(make([]byte, 1024))
			_ = conn.Close()
		}, 0, liveness.ErrClosed},
		{"it is silent", func(net.Conn) {}, 0, os.ErrDeadlineExceeded},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			ln, err := net.Listen("tcp", "127.0.0.1:0")
			g.Expect(err).NotTo(HaveOccurred())
			defer ln.Close()
			go func() {
				if conn, err := ln.Accept(); err == nil {
					context.AfterFunc(t.Context(), func() { _ = conn.Close() })
					if c.status > 0 {
						_, _ = conn.Read(make([]byte, 1024))
					}
					c.serve(conn)
				}
			}()
			ctx, cancel := context.WithTimeout(t.Context(), time.Second)
			defer cancel()
			req, err := http.NewRequest(http.MethodGet, "http://"+ln.Addr().String()+"/", nil)
			g.Expect(err).NotTo(HaveOccurred())
			res, err := liveness.Ask(ctx, new(net.Dialer).DialContext, ln.Addr().String(), req)
			if c.err != nil {
				g.Expect(errors.Is(err, c.err)).To(BeTrue(), "%v", err)
				return
			}
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(res.StatusCode).To(Equal(c.status))
		})
	}
}

func TestAskIsRefusedWithoutAListener(t *testing.T) {
	g := NewWithT(t)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(ln.Close()).To(Succeed())
	req, err := http.NewRequest(http.MethodGet, "http://"+ln.Addr().String()+"/", nil)
	g.Expect(err).NotTo(HaveOccurred())
	_, err = liveness.Ask(t.Context(), new(net.Dialer).DialContext, ln.Addr().String(), req)
	g.Expect(errors.Is(err, liveness.ErrRefused)).To(BeTrue())
}
