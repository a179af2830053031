package control

import (
	"net"

	"github.com/pkg/errors"
	"github.com/sourcegraph/jsonrpc2"
)

const (
	// maxUpgradeBytes bounds the head of a peer's answer to an upgrade.
	maxUpgradeBytes = 16 << 10
	// maxMessageBytes bounds one message: a full server list or a configuration.
	maxMessageBytes = 8 << 20
)

var errTooLarge = errors.New("peer sent more bytes than a message may have")

// boundedConn is a connection that fails once more than a number of bytes were read since
// the last call of allow.
type boundedConn struct {
	net.Conn
	left int
}

// allow sets the number of bytes that may be read from now on.
func (c *boundedConn) allow(n int) { c.left = n }

// Read reads from the connection. It returns errTooLarge if the bound is reached.
func (c *boundedConn) Read(p []byte) (int, error) {
	if c.left <= 0 {
		return 0, errTooLarge
	}
	n, err := c.Conn.Read(p[:min(len(p), c.left)])
	c.left -= n
	return n, err
}

// boundedStream reads JSON objects of at most maxMessageBytes.
type boundedStream struct {
	jsonrpc2.ObjectStream
	conn *boundedConn
}

// newStream returns a stream of JSON objects on a connection.
func newStream(conn *boundedConn) jsonrpc2.ObjectStream {
	return &boundedStream{jsonrpc2.NewPlainObjectStream(conn), conn}
}

// ReadObject reads the next object. The error is not wrapped: jsonrpc2 compares it with
// io.EOF.
func (s *boundedStream) ReadObject(v any) error {
	s.conn.allow(maxMessageBytes)
	return s.ObjectStream.ReadObject(v)
}
