package liveness_test

import (
	"context"
	"errors"
	"net"
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
