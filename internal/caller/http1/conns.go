// Package http1 holds the HTTP/1.1 connections of callers, so that a router that stops ends
// them without losing a request.
package http1

import (
	"errors"
	"net"
	"net/http"
	"os"
	"runtime"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/sirupsen/logrus"
)

var endedWhileReadTotal = metrics.NewCounter("wisteriafield_connections_ended_while_read_total")

// minIdle is how long a connection must have been idle to be closed. net/http may have read
// the first byte of the next request before it reports the connection as idle.
const minIdle = 200 * time.Millisecond

// fairBytes is what a request may send, in bytes, before its reading yields to others.
const fairBytes = 64 << 10

// Phase is what happens on a caller's connection.
type Phase string

const (
	Idle    Phase = "Idle"    // no byte of a request was read since the last answer
	Reading Phase = "Reading" // a request is being read
	Serving Phase = "Serving" // a request is being served, or its answer written
	Closing Phase = "Closing" // after the last answer, what still arrives is discarded
)

// Conns are the connections of callers. net/http counts one as active only after it
// has read a request's header; here it is in use from the request's first byte on.
type Conns struct {
	headerTimeout time.Duration // in which a request's header must arrive; 0 for no limit
	log           *logrus.Entry
	// RequestID returns the ID of a request for the log; may be nil. It is set before Attach.
	RequestID func(*http.Request) string
	// Limits bound the connections. They are set before Listen.
	Limits Limits

	mu       sync.Mutex // locked by no connection: many would hold up the end of accepting
	listener net.Listener
	accepts  bool          // the listener is open
	stopped  bool          // only connections that the kernel had accepted are accepted
	queued   []*callerConn // these, until they are served

	accepting atomic.Int32  // calls of Accept
	open      sync.Map      // of *callerConn
	n         atomic.Int64  // connections that are open
	removed   chan struct{} // has a value after one of them has closed
	refusals  refusals

	endingLogged  atomic.Int64 // Unix nanoseconds when it was logged that connections end for others
	givesWayUntil atomic.Int64 // Unix nanoseconds until which connections end after their answers
	usedAt        atomic.Int64 // Unix nanoseconds when a connection last began or ended to be in use

	stopping atomic.Bool // answers tell callers to close their connections
}

// New returns the connections of a server with a timeout for the headers of requests.
func New(headerTimeout time.Duration, log *logrus.Entry) *Conns {
	return &Conns{headerTimeout: headerTimeout, log: log, removed: make(chan struct{}, 1)}
}

// callerConn is the connection of a caller.
type callerConn struct {
	net.Conn
	headerTimeout time.Duration
	log           *logrus.Entry
	onClosed      func(*callerConn) // after Closing

	mu        sync.Mutex
	phase     Phase
	since     time.Time // when the phase began
	used      bool      // a request was read
	unread    bool      // the request that is served was not read completely
	ending    bool      // while idle, by closeIdle or to accept others
	forOthers bool      // the request is not read any more, to accept others
	ended     bool      // no request is read any more
	answered  bool      // the handler of the request has returned, with a complete answer
	exchange  exchange

	header   headerMeter // of the request
	refusals *refusals
}

func (c *callerConn) Read(p []byte) (int, error) {
	if c.bytesRead() > fairBytes {
		runtime.Gosched() // small chunks take long to read, and others wait to run
	}
	n, err := c.Conn.Read(p)
	// net/http reads one byte while a request is served, which shows the end of the connection.
	if len(p) == 1 && errors.Is(err, os.ErrDeadlineExceeded) && c.goOnServing() {
		n, err = c.Conn.Read(p)
	}
	if n > 0 {
		if !c.beginReading(p[:n]) && c.end() {
			c.linger()
			return 0, os.ErrDeadlineExceeded
		}
	} else if errors.Is(err, os.ErrDeadlineExceeded) && c.end() && !c.endsIdleForOthers() {
		c.linger()
	}
	return n, err
}

// end records that no request arrived in time. It returns false while a request is served,
// for which the deadline has another meaning.
func (c *callerConn) end() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.ended && c.phase != Serving {
		c.ended, c.since = true, time.Now()
	}
	return c.ended
}

// endsIdleForOthers reports whether the connection ends without a request, to accept others. It
// does not wait for what its caller may send.
func (c *callerConn) endsIdleForOthers() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.forOthers && c.phase == Idle
}

// CloseWrite lets net/http end an answer whose request was not read completely without
// resetting the connection.
func (c *callerConn) CloseWrite() error {
	if conn, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return conn.CloseWrite()
	}
	return nil
}

// beginReading records that bytes of a request were read, and returns false if there is no memory
// for its header. A connection that was about to end as idle goes on. net/http bounds the reading
// of a header only from its fourth byte on.
func (c *callerConn) beginReading(p []byte) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.exchange.read += len(p)
	var deadline time.Time
	if c.headerTimeout > 0 {
		deadline = time.Now().Add(c.headerTimeout)
	}
	if c.phase == Idle {
		c.phase, c.since, c.used = Reading, time.Now(), true
		c.forOthers = false
		c.header.begin()
		c.ending = c.ending || !deadline.IsZero()
	}
	c.goOn(deadline)
	return c.phase != Reading || c.header.read(p)
}

// goOn replaces the read deadline of a connection that was about to end. The caller holds mu.
func (c *callerConn) goOn(deadline time.Time) {
	if c.ending {
		c.ending = false
		_ = c.setReadDeadline(deadline)
	}
}

func (c *callerConn) setPhase(phase Phase) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.phase, c.since, c.answered = phase, time.Now(), false
	if phase == Idle {
		c.exchange = exchange{}
		c.header.end()
	}
	c.goOn(time.Time{})
}

// closeIfIdle lets the connection end if no byte of a request was read for minIdle: the read
// that waits for one fails, unless it has got it already, and net/http closes the connection.
func (c *callerConn) closeIfIdle(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.ended || c.phase != Idle || now.Sub(c.since) < minIdle {
		return
	}
	c.ending = true
	_ = c.setReadDeadline(time.Now())
}

func (c *callerConn) currentPhase() Phase {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.phase
}

// used records that a connection begins or ends to be in use.
func (cs *Conns) used(c *callerConn) {
	c.mu.Lock()
	ended := c.ended
	c.mu.Unlock()
	if !ended {
		cs.usedAt.Store(time.Now().UnixNano())
	}
}

// quietFor returns how long no connection has been in use.
func (cs *Conns) quietFor(now time.Time) time.Duration {
	if cs.inUse() {
		return 0
	}
	return now.Sub(time.Unix(0, cs.usedAt.Load()))
}

// inUse reports whether a request is being read or served.
func (cs *Conns) inUse() bool {
	left := cs.Count()
	return left[Reading]+left[Serving] > 0
}

// closeIdle closes the idle connections.
func (cs *Conns) closeIdle(now time.Time) {
	cs.each(func(c *callerConn) { c.closeIfIdle(now) })
}

// Count returns the number of connections by phase.
func (cs *Conns) Count() map[Phase]int {
	n := make(map[Phase]int)
	cs.each(func(c *callerConn) { n[c.currentPhase()]++ })
	return n
}

// each calls a function for all connections.
func (cs *Conns) each(f func(*callerConn)) {
	cs.open.Range(func(c, _ any) bool {
		f(c.(*callerConn))
		return true
	})
}
