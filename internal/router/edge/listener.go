package edge

import (
	"errors"
	"net"
	"net/http"
)

// persistentListener accepts connections until it is closed. Linux reports pending errors
// of the network and a lack of memory as errors of accept.
type persistentListener struct{ net.Listener }

// Accept returns all errors but the end of the listener as temporary, so that net/http
// tries again after a while.
func (l persistentListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err == nil || errors.Is(err, net.ErrClosed) || errors.Is(err, http.ErrServerClosed) {
		return conn, err
	}
	return nil, temporaryError{err}
}

// temporaryError is a net.Error after which the call may be repeated.
type temporaryError struct{ error }

func (temporaryError) Timeout() bool   { return false }
func (temporaryError) Temporary() bool { return true }

func (e temporaryError) Unwrap() error { return e.error }
