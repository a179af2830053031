package http1

import (
	"errors"
	"fmt"
	"net"
	"net/http"
	"time"
)

// callerListener accepts the connections of callers.
type callerListener struct {
	net.Listener
	conns *Conns
}

// Accept returns http.ErrServerClosed once no more connections are accepted. net/http must
// not learn of the end in another way: it would drop requests that it has just read.
func (l callerListener) Accept() (net.Conn, error) {
	l.conns.accepting.Add(1)
	defer l.conns.accepting.Add(-1)
	if l.conns.isStopped() {
		return l.conns.nextQueued()
	}
	for {
		conn, err := l.Listener.Accept()
		switch {
		case err == nil:
			if l.conns.admit(conn, roomTime) {
				return l.conns.add(conn), nil
			}
		case l.conns.isStopped():
			return l.conns.nextQueued()
		default:
			return nil, err
		}
	}
}

// Listen makes a listener's connections the callers'.
func (cs *Conns) Listen(ln net.Listener) net.Listener {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	cs.listener, cs.accepts = ln, true
	if err := limitReceiving(ln, cs.Limits.ReceiveBytes); err != nil {
		cs.log.WithError(err).Warn("receive buffers of callers are not bounded")
	}
	return callerListener{ln, cs}
}

func (cs *Conns) add(conn net.Conn) *callerConn {
	c := &callerConn{
		Conn: conn, headerTimeout: cs.headerTimeout, log: cs.log, phase: Idle, since: time.Now(),
		onClosed: cs.remove, header: headerMeter{memory: cs.Limits.HeaderMemory}, refusals: &cs.refusals,
	}
	cs.open.Store(c, true)
	cs.n.Add(1)
	return c
}

// remove forgets a connection that has closed.
func (cs *Conns) remove(c *callerConn) {
	if _, open := cs.open.LoadAndDelete(c); open {
		cs.n.Add(-1)
		select {
		case cs.removed <- struct{}{}:
		default:
		}
		c.endHeader()
	}
}

// stopAccepting closes the listener. The connections that the kernel has accepted, which that
// would reset, are kept until they are served.
func (cs *Conns) stopAccepting() {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	cs.stopped = true
	if cs.listener == nil {
		return
	}
	err := acceptQueue(cs.listener, func(conn net.Conn) {
		if cs.admit(conn, 0) {
			cs.queued = append(cs.queued, cs.add(conn))
		}
	})
	if err != nil {
		cs.log.WithError(err).Warn("connections in the kernel's queue were not accepted")
	}
	_ = cs.listener.Close()
	cs.accepts = false
}

// nextQueued returns a connection that was accepted at the end of accepting.
func (cs *Conns) nextQueued() (net.Conn, error) {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	if len(cs.queued) == 0 {
		return nil, http.ErrServerClosed
	}
	c := cs.queued[0]
	cs.queued = cs.queued[1:]
	c.setPhase(Idle) // it was not idle for lack of a request
	return c, nil
}

func (cs *Conns) isStopped() bool {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	return cs.stopped
}

// ended reports whether all connections have ended and no more are accepted.
func (cs *Conns) ended() bool {
	cs.mu.Lock()
	accepts := cs.accepts
	cs.mu.Unlock()
	return !accepts && cs.accepting.Load() == 0 && len(cs.Count()) == 0
}

// Serve serves until the listener is closed, which it does not report as an error.
func Serve(s *http.Server, ln net.Listener) error {
	if err := s.Serve(persistentListener{ln}); err != http.ErrServerClosed {
		return fmt.Errorf("serve %s: %w", ln.Addr(), err)
	}
	return nil
}

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
