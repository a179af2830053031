package quarantine

import (
	"context"
	"net"
	"time"

	"wisteriafield/internal/backend/liveness"
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

// Listens reports whether a process accepts connections at an address and keeps them open. The error
// says that this is not known; it is liveness.ErrClosed if they are closed at once.
func Listens(ctx context.Context, address string) (bool, error) {
	ctx, cancel := context.WithTimeout(ctx, listenTimeout)
	defer cancel()
	return liveness.Listens(ctx, new(net.Dialer).DialContext, address)
}
