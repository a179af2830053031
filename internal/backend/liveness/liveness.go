// Package liveness tells whether a process listens at the address of a server.
package liveness

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"syscall"
	"time"
)

// closeTime is how long a connection has to stay open to count as one that a server has accepted.
// Servers wait for a request for seconds.
const closeTime = 20 * time.Millisecond

// ErrClosed means that an address accepted a connection and closed it at once, as a proxy or a port
// forwarder does whose server is gone.
var ErrClosed = errors.New("connection was closed at once")

// Dial opens a connection.
type Dial func(ctx context.Context, network, address string) (net.Conn, error)

// Listens reports whether a process listens at an address: it accepts a connection and keeps it open.
// A host without one refuses the connection. The error says that this is not known. Something else than
// the server may listen there, so that true does not prove that the server is alive.
func Listens(ctx context.Context, dial Dial, address string) (bool, error) {
	conn, err := dial(ctx, "tcp", address)
	if errors.Is(err, syscall.ECONNREFUSED) {
		return false, nil
	}
	if err != nil {
		return false, fmt.Errorf("connect to %s: %w", address, err)
	}
	defer conn.Close()
	_ = conn.SetReadDeadline(time.Now().Add(closeTime))
	_, err = conn.Read(make([]byte, 1))
	switch {
	case err == nil || errors.Is(err, os.ErrDeadlineExceeded):
		return true, nil
	case errors.Is(err, io.EOF):
		return false, fmt.Errorf("check %s: %w", address, ErrClosed)
	default:
		return false, fmt.Errorf("check %s: %w", address, err)
	}
}
