package quarantine

import (
	"context"
	"errors"
	"fmt"
	"net"
	"syscall"
	"time"

	"wisteriafield/internal/backend/server"
)

const (
	// incarnationTime is the time within which the losses of a server are one crash, where
	// servers don't say when they started.
	incarnationTime = 2 * time.Second
	// listenTimeout bounds the check whether a server that broke off an answer is lost.
	// A host whose process is gone refuses a connection within a round trip.
	listenTimeout = 50 * time.Millisecond
)

// Identify returns a request that is known by its organisation and the digest of its path
// and body.
func Identify(id, organisation, digest string) *server.Request {
	req := &server.Request{ID: id, Organisation: organisation, Body: []byte(digest)}
	req.SetDigest()
	return req
}

// Incarnation returns the server that was lost under a name, for servers that don't say when
// they started.
func Incarnation(name string, lostAt time.Time) *server.Server {
	return &server.Server{ID: name, Started: lostAt.Truncate(incarnationTime).UnixMilli()}
}

// Listens reports whether a process accepts connections at an address. The error says that this
// is not known.
func Listens(ctx context.Context, address string) (bool, error) {
	ctx, cancel := context.WithTimeout(ctx, listenTimeout)
	defer cancel()
	var dialer net.Dialer
	conn, err := dialer.DialContext(ctx, "tcp", address)
	if errors.Is(err, syscall.ECONNREFUSED) {
		return false, nil
	}
	if err != nil {
		return false, fmt.Errorf("connect to %s: %w", address, err)
	}
	_ = conn.Close()
	return true, nil
}
