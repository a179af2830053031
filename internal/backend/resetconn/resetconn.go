// Package resetconn reads answers of servers that reset the connection before the request
// is written.
//
// The kernel reports a reset once. If a write of the request gets the report, the reads that
// follow see the regular end of the connection. And net/http does not read the answer after a
// failed write.
package resetconn

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// Conn is a connection on which a request is written and its answer read.
type Conn struct {
	net.Conn

	ended atomic.Bool // the server sends nothing more

	mu    sync.Mutex // held while a part of the request is written
	reset bool       // a write got the report of the reset
}

// Dialer returns a function that connects with d, for http.Transport.
func Dialer(d *net.Dialer) func(ctx context.Context, network, address string) (net.Conn, error) {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := d.DialContext(ctx, network, address)
		if err != nil {
			return nil, fmt.Errorf("connect: %w", err)
		}
		return &Conn{Conn: conn}, nil
	}
}

// Write writes a part of the request. Once the server has closed the connection, or ended its
// answer, it drops what is not written without an error.
func (c *Conn) Write(p []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	n, err := c.Conn.Write(p)
	switch {
	case errors.Is(err, syscall.ECONNRESET):
		c.reset = true
		return len(p), nil
	case errors.Is(err, syscall.EPIPE): // after a reset, or the regular end of the answer
		return len(p), nil
	case errors.Is(err, os.ErrDeadlineExceeded) && c.ended.Load():
		return len(p), nil
	}
	return n, err
}

// Read reads a part of the answer. After a reset the end of the connection is an error.
func (c *Conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if err == io.EOF && c.wasReset() {
		err = syscall.ECONNRESET
	}
	return n, err
}

// wasReset ends a write that waits for the server, which may read nothing more.
func (c *Conn) wasReset() bool {
	c.ended.Store(true)
	_ = c.SetWriteDeadline(time.Now())
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.reset
}
