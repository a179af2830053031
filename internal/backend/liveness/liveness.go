// Package liveness tells whether a process listens at the address of a server.
package liveness

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"syscall"
	"time"
)

const (
	// closeTime is how long a connection has to stay open to count as one that a server has accepted.
	// Servers wait for a request for seconds.
	closeTime = 20 * time.Millisecond
	// maxHeadBytes bounds the head of an answer to Ask.
	maxHeadBytes = 16 << 10
)

var (
	// ErrRefused means that no process listens at an address.
	ErrRefused = errors.New("connection refused")
	// ErrClosed means that an address accepted a connection and closed it without an answer, as a proxy
	// or a port forwarder does whose server is gone.
	ErrClosed = errors.New("connection was closed without an answer")
)

// Dial opens a connection.
type Dial func(ctx context.Context, network, address string) (net.Conn, error)

// Listens reports whether a process listens at an address: it accepts a connection and keeps it open.
// A host without one refuses the connection. The error says that this is not known. Something else than
// the server may listen there, so that true does not prove that the server is alive.
func Listens(ctx context.Context, dial Dial, address string) (bool, error) {
	conn, err := connect(ctx, dial, address)
	if errors.Is(err, ErrRefused) {
		return false, nil
	}
	if err != nil {
		return false, err
	}
	_ = conn.Close()
	return true, nil
}

// Ask sends a request to an address and returns the answer, without its body. It uses one connection. The
// error is ErrRefused, ErrClosed, or os.ErrDeadlineExceeded if the connection was accepted and there is no
// answer before ctx ends; any other says that nothing was learned.
func Ask(ctx context.Context, dial Dial, address string, req *http.Request) (*http.Response, error) {
	conn, err := connect(ctx, dial, address)
	if err != nil {
		return nil, err
	}
	defer conn.Close()
	if deadline, ok := ctx.Deadline(); ok {
		_ = conn.SetDeadline(deadline)
	}
	if err := req.Write(conn); err != nil {
		return nil, fmt.Errorf("ask %s: %w", address, err)
	}
	r := bufio.NewReader(io.LimitReader(conn, maxHeadBytes))
	if _, err := r.Peek(1); err != nil {
		return nil, readError(address, err)
	}
	res, err := http.ReadResponse(r, req)
	if err != nil {
		return nil, fmt.Errorf("ask %s: %w", address, err)
	}
	_ = res.Body.Close()
	return res, nil
}

// connect opens a connection that stays open for closeTime.
func connect(ctx context.Context, dial Dial, address string) (net.Conn, error) {
	conn, err := dial(ctx, "tcp", address)
	if errors.Is(err, syscall.ECONNREFUSED) {
		return nil, fmt.Errorf("connect to %s: %w", address, ErrRefused)
	}
	if err != nil {
		return nil, fmt.Errorf("connect to %s: %w", address, err)
	}
	_ = conn.SetReadDeadline(time.Now().Add(closeTime))
	if _, err = conn.Read(make([]byte, 1)); err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
		_ = conn.Close()
		return nil, readError(address, err)
	}
	_ = conn.SetReadDeadline(time.Time{})
	return conn, nil
}

func readError(address string, err error) error {
	if errors.Is(err, io.EOF) {
		err = ErrClosed
	}
	return fmt.Errorf("check %s: %w", address, err)
}
