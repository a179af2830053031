package truncate

import (
	"io"
	"net"
	"testing"
	"time"
)

// readBytes is less than a request has that is answered early.
const readBytes = 1 << 10

// fillTime is enough for a caller to fill the buffers between it and a server that reads nothing.
const fillTime = 100 * time.Millisecond

// NewEarlyServer returns the address of a server that answers each request after a part of it
// and ends the connection, until the test ends.
func NewEarlyServer(t testing.TB, answer string, end End) (address string) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	over := make(chan struct{})
	t.Cleanup(func() {
		_ = ln.Close()
		close(over)
	})
	go func() {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			go func() {
				defer conn.Close()
				if end == Reset || end == LateReset {
					_ = conn.(*net.TCPConn).SetLinger(0)
				}
				_, _ = conn.Read(make([]byte, readBytes))
				_, _ = io.WriteString(conn, answer)
				if end == LateReset {
					time.Sleep(fillTime)
				}
				if end == HalfClose {
					time.Sleep(fillTime)
					_ = conn.(*net.TCPConn).CloseWrite()
					<-over
				}
			}()
		}
	}()
	return ln.Addr().String()
}
