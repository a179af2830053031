package edge

import (
	"context"
	"errors"
	"net"
	"net/http"
	"os"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/sirupsen/logrus"
)

var endedWhileReadTotal = metrics.NewCounter("wisteriafield_connections_ended_while_read_total")

// minIdle is how long a connection must have been idle to be closed. net/http may have read
// the first byte of the next request before it reports the connection as idle.
const minIdle = 200 * time.Millisecond

// connPhase is what happens on a caller's connection.
type connPhase string

const (
	connIdle    connPhase = "Idle"    // no byte of a request was read since the last answer
	connReading connPhase = "Reading" // a request is being read
	connServing connPhase = "Serving" // a request is being served, or its answer written
)

// connections are the connections of callers. net/http counts one as active only after it
// has read a request's header; here it is in use from the request's first byte on.
type connections struct {
	log *logrus.Entry

	mu       sync.Mutex
	listener net.Listener
	stopped  bool // only connections that the kernel has accepted are accepted
	accepts  bool // the listener is open
	open     map[*callerConn]bool
	usedAt   time.Time // when a connection last began or ended to be in use
}

func newConnections(log *logrus.Entry) *connections {
	return &connections{log: log, open: make(map[*callerConn]bool)}
}

// callerConn is the connection of a caller.
type callerConn struct {
	net.Conn
	log *logrus.Entry

	mu        sync.Mutex
	phase     connPhase
	idleSince time.Time
	ending    bool // while idle, by closeIdle
	ended     bool // no request is read any more
}

func (c *callerConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.beginReading()
	} else if errors.Is(err, os.ErrDeadlineExceeded) && c.end() {
		c.linger()
	}
	return n, err
}

// end records that no request arrived in time. It returns false while a request is served,
// for which the deadline has another meaning.
func (c *callerConn) end() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.ended = c.ended || c.phase != connServing
	return c.ended
}

// CloseWrite lets net/http end an answer whose request was not read completely without
// resetting the connection.
func (c *callerConn) CloseWrite() error {
	if conn, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return conn.CloseWrite()
	}
	return nil
}

// beginReading records that a byte of a request was read. A connection that was about to
// end as idle goes on.
func (c *callerConn) beginReading() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.phase == connIdle {
		c.phase = connReading
	}
	c.goOn(time.Now().Add(headerTimeout))
}

// goOn replaces the read deadline of a connection that was about to end. The caller holds mu.
func (c *callerConn) goOn(deadline time.Time) {
	if c.ending {
		c.ending = false
		_ = c.SetReadDeadline(deadline)
	}
}

func (c *callerConn) setPhase(phase connPhase) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.phase, c.idleSince = phase, time.Now()
	c.goOn(time.Time{})
}

// closeIfIdle lets the connection end if no byte of a request was read for minIdle: the read
// that waits for one fails, unless it has got it already, and net/http closes the connection.
func (c *callerConn) closeIfIdle(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.ended || c.phase != connIdle || now.Sub(c.idleSince) < minIdle {
		return
	}
	c.ending = true
	_ = c.SetReadDeadline(time.Now())
}

func (c *callerConn) currentPhase() connPhase {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.phase
}

type connKey struct{}

// withConn is the ConnContext of the callers' server.
func withConn(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, conn)
}

// markServing records that the handler of a request has begun.
func markServing(r *http.Request) {
	if c, ok := r.Context().Value(connKey{}).(*callerConn); ok {
		c.setPhase(connServing)
	}
}

// resetOnClose makes the connection of a request end with a reset, so that an answer that
// ends with its connection, as for HTTP/1.0, does not look complete.
func resetOnClose(r *http.Request) {
	c, ok := r.Context().Value(connKey{}).(*callerConn)
	if !ok || r.ProtoAtLeast(1, 1) {
		return
	}
	if conn, ok := c.Conn.(interface{ SetLinger(sec int) error }); ok {
		_ = conn.SetLinger(0)
	}
}

// stateChanged is the ConnState hook of the callers' server.
func (cs *connections) stateChanged(conn net.Conn, state http.ConnState) {
	c, ok := conn.(*callerConn)
	if !ok {
		return
	}
	cs.used(c)
	switch state {
	case http.StateIdle:
		c.setPhase(connIdle)
	case http.StateClosed, http.StateHijacked:
		cs.mu.Lock()
		delete(cs.open, c)
		cs.mu.Unlock()
		if c.currentPhase() == connReading {
			endedWhileReadTotal.Inc()
			cs.log.WithField("caller", c.RemoteAddr().String()).Info("connection ended while a request was read")
		}
	}
}

// used records that a connection begins or ends to be in use.
func (cs *connections) used(c *callerConn) {
	c.mu.Lock()
	ended := c.ended
	c.mu.Unlock()
	if ended {
		return
	}
	cs.mu.Lock()
	defer cs.mu.Unlock()
	cs.usedAt = time.Now()
}

// quietFor returns how long no connection has been in use.
func (cs *connections) quietFor(now time.Time) time.Duration {
	if cs.inUse() {
		return 0
	}
	cs.mu.Lock()
	defer cs.mu.Unlock()
	return now.Sub(cs.usedAt)
}

// inUse reports whether a request is being read or served.
func (cs *connections) inUse() bool {
	left := cs.count()
	return left[connReading]+left[connServing] > 0
}

// closeIdle closes the idle connections.
func (cs *connections) closeIdle(now time.Time) {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	for c := range cs.open {
		c.closeIfIdle(now)
	}
}

// endReading lets the reading of all requests fail.
func (cs *connections) endReading() {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	for c := range cs.open {
		_ = c.SetReadDeadline(time.Now())
	}
}

// count returns the number of connections by phase.
func (cs *connections) count() map[connPhase]int {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	n := make(map[connPhase]int)
	for c := range cs.open {
		n[c.currentPhase()]++
	}
	return n
}
