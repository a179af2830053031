// Package service is a client of services. For each failed call it reports whether any
// byte of the call may have reached the service.
package service

import (
	"bytes"
	"context"
	"fmt"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"wisteriafield/internal/backend/answerbody"
	"wisteriafield/internal/backend/resetconn"
	"wisteriafield/internal/base/validanswer"
	"wisteriafield/internal/decision/answermemory"
)

var (
	// ErrNotSent means that no byte of the call was sent or will be.
	ErrNotSent = errors.New("call was not sent")
	// ErrLost means that the service may have executed the call, but its answer is lost.
	ErrLost = errors.New("answer was lost")
)

const (
	dialTimeout    = 300 * time.Millisecond
	maxHeaderBytes = 64 << 10
	maxAnswerBytes = 4 << 20
)

// Call is a call of a service.
type Call struct {
	Method string
	Target string // path and query
	Header http.Header
	Body   []byte
}

// Answer is a service's answer to a call.
type Answer struct {
	Status int
	Header http.Header
	Body   []byte

	held *answerbody.Body // the same bytes
}

// Release gives the memory of the body back. Without an answer it does nothing.
func (a *Answer) Release() {
	if a != nil {
		a.held.Release()
	}
}

// Client calls services. Each call opens its own connection, so that net/http never
// resends a call by itself, as it may on a reused connection.
type Client struct {
	dialer net.Dialer
	memory *answermemory.Budget
}

// New returns a client whose calls hold answers within the budget.
func New(memory *answermemory.Budget) *Client {
	return &Client{dialer: net.Dialer{Timeout: dialTimeout}, memory: memory}
}

// Do makes the call at most once. The error is ErrNotSent or ErrLost. The caller has to release
// the answer.
func (c *Client) Do(ctx context.Context, address string, call Call) (*Answer, error) {
	dialed, err := c.dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, fmt.Errorf("%v: %w", err, ErrNotSent)
	}
	conn := &writeTrackingConn{Conn: &resetconn.Conn{Conn: dialed}}
	defer conn.Close()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, call.Method, "http://"+address+call.Target, bytes.NewReader(call.Body))
	if err != nil {
		return nil, fmt.Errorf("build request: %v: %w", err, ErrNotSent)
	}
	req.Header = call.Header.Clone()
	answer, err := c.roundTrip(conn, req, cancel)
	if err == nil {
		return answer, nil
	}
	// The connection is closed before the flag is read, so that no byte can be sent
	// afterwards.
	_ = conn.Close()
	if !conn.attemptedWrite.Load() {
		return nil, fmt.Errorf("%v: %w", err, ErrNotSent)
	}
	return nil, fmt.Errorf("%v: %w", err, ErrLost)
}

func (c *Client) roundTrip(conn net.Conn, req *http.Request, cancel context.CancelFunc) (*Answer, error) {
	var dialed atomic.Bool
	transport := validanswer.Transport{Transport: &http.Transport{
		DisableKeepAlives:  true,
		DisableCompression: true,
		// A head without end is an error.
		MaxResponseHeaderBytes: maxHeaderBytes,
		DialContext: func(context.Context, string, string) (net.Conn, error) {
			if dialed.Swap(true) {
				return nil, ErrNotSent
			}
			return conn, nil
		},
	}}
	res, err := transport.RoundTrip(req)
	if err != nil {
		return nil, err
	}
	defer res.Body.Close()
	body, err := answerbody.Read(res.Body, maxAnswerBytes, c.memory, cancel)
	if err != nil {
		return nil, err
	}
	return &Answer{Status: res.StatusCode, Header: res.Header, Body: body.Bytes(), held: body}, nil
}

// writeTrackingConn records whether a write was attempted.
type writeTrackingConn struct {
	net.Conn
	attemptedWrite atomic.Bool
}

// Write records the attempt before it writes, since a failed write may have sent bytes.
func (c *writeTrackingConn) Write(p []byte) (int, error) {
	c.attemptedWrite.Store(true)
	return c.Conn.Write(p)
}
