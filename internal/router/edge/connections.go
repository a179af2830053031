package edge

import (
	"context"
	"net"
	"net/http"
	"sync"

	"github.com/VictoriaMetrics/metrics"
	"github.com/sirupsen/logrus"
)

var endedWhileReadTotal = metrics.NewCounter("wisteriafield_connections_ended_while_read_total")

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

	mu   sync.Mutex
	open map[*callerConn]bool
}

func newConnections(log *logrus.Entry) *connections {
	return &connections{log: log, open: make(map[*callerConn]bool)}
}

// callerListener accepts the connections of callers.
type callerListener struct {
	net.Listener
	conns *connections
}

func (l callerListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c := &callerConn{Conn: conn, phase: connIdle}
	l.conns.mu.Lock()
	defer l.conns.mu.Unlock()
	l.conns.open[c] = true
	return c, nil
}

// callerConn is the connection of a caller.
type callerConn struct {
	net.Conn

	mu    sync.Mutex
	phase connPhase
}

func (c *callerConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.beginReading()
	}
	return n, err
}

// CloseWrite lets net/http end an answer whose request was not read completely without
// resetting the connection.
func (c *callerConn) CloseWrite() error {
	if conn, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return conn.CloseWrite()
	}
	return nil
}

func (c *callerConn) beginReading() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.phase == connIdle {
		c.phase = connReading
	}
}

func (c *callerConn) setPhase(phase connPhase) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.phase = phase
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

// stateChanged is the ConnState hook of the callers' server.
func (cs *connections) stateChanged(conn net.Conn, state http.ConnState) {
	c, ok := conn.(*callerConn)
	if !ok {
		return
	}
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
