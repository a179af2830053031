// Package service speaks to plain services. It tells for each failed call
// whether any byte of it may have reached the service.
package service

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
)

var (
	// ErrNotSent means that no byte of the call left and none will.
	ErrNotSent = errors.New("call was not sent")
	// ErrLost means that the call may have run and its answer is lost.
	ErrLost = errors.New("answer was lost")
)

const (
	dialTimeout = 300 * time.Millisecond
	maxAnswer   = 4 << 20 // bytes
)

// Call is one call of a service.
type Call struct {
	Method string
	Target string // path and query
	Header http.Header
	Body   []byte
}

// Answer is what the service said.
type Answer struct {
	Status int
	Header http.Header
	Body   []byte
}

// Client calls services. Each call has a connection of its own, so the library
// never sends one a second time by itself, as it may on a reused connection.
type Client struct {
	dialer net.Dialer
}

// New returns a client.
func New() *Client { return &Client{dialer: net.Dialer{Timeout: dialTimeout}} }

// Do makes the call once. The error is ErrNotSent or ErrLost.
func (c *Client) Do(ctx context.Context, address string, call Call) (*Answer, error) {
	raw, err := c.dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, fmt.Errorf("%v: %w", err, ErrNotSent)
	}
	conn := &countingConn{Conn: raw}
	defer conn.Close()
	req, err := http.NewRequestWithContext(ctx, call.Method, "http://"+address+call.Target, bytes.NewReader(call.Body))
	if err != nil {
		return nil, fmt.Errorf("build request: %v: %w", err, ErrNotSent)
	}
	req.Header = call.Header.Clone()
	answer, err := roundTrip(conn, req)
	if err == nil {
		return answer, nil
	}
	// The connection is closed before the count is read, so no byte can leave
	// after it.
	_ = conn.Close()
	if !conn.wrote.Load() {
		return nil, fmt.Errorf("%v: %w", err, ErrNotSent)
	}
	return nil, fmt.Errorf("%v: %w", err, ErrLost)
}

func roundTrip(conn net.Conn, req *http.Request) (*Answer, error) {
	var used atomic.Bool
	transport := &http.Transport{
		DisableKeepAlives:  true,
		DisableCompression: true,
		DialContext: func(context.Context, string, string) (net.Conn, error) {
			if used.Swap(true) {
				return nil, ErrNotSent
			}
			return conn, nil
		},
	}
	res, err := transport.RoundTrip(req)
	if err != nil {
		return nil, err
	}
	defer res.Body.Close()
	body, err := io.ReadAll(io.LimitReader(res.Body, maxAnswer+1))
	if err != nil {
		return nil, err
	}
	if len(body) > maxAnswer {
		return nil, errors.New("answer is too large")
	}
	return &Answer{Status: res.StatusCode, Header: res.Header, Body: body}, nil
}

// countingConn notes that a write was attempted.
type countingConn struct {
	net.Conn
	wrote atomic.Bool
}

// Write notes the attempt before it writes.
func (c *countingConn) Write(p []byte) (int, error) {
	c.wrote.Store(true)
	return c.Conn.Write(p)
}
