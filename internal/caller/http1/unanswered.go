package http1

import (
	"bytes"
	"net/http"
	"time"

	"github.com/VictoriaMetrics/metrics"
)

var unansweredTotal = metrics.NewCounter("wisteriafield_connections_ended_unanswered_total")

// continueLine begins what net/http writes before it reads a body that waits for it. It is no
// answer, and is written by itself.
const continueLine = "HTTP/1.1 100 "

// exchange is what has passed on a connection since its last answer.
type exchange struct {
	read    int           // bytes of requests
	written int           // bytes of the answer
	request *http.Request // that is served
	since   time.Time     // when its handler began
	logged  bool          // as one that ended without an answer
}

// Write writes a part of an answer.
func (c *callerConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.mu.Lock()
	defer c.mu.Unlock()
	if !bytes.HasPrefix(p, []byte(continueLine)) {
		c.exchange.written += n
	}
	return n, err
}

// beginServing records that the handler of a request has begun. It returns false if there is no
// memory for its header.
func (c *callerConn) beginServing(r *http.Request) bool {
	c.setPhase(Serving)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.exchange.request, c.exchange.since = r, time.Now()
	c.unread = r.ContentLength != 0
	return c.header.settle(r)
}

// endHeader gives the memory of a header back.
func (c *callerConn) endHeader() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.header.end()
}

// takeUnanswered returns what has passed on a connection whose request is served and has got
// no byte of an answer. It does so once.
func (c *callerConn) takeUnanswered() (exchange, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.phase != Serving || c.exchange.written > 0 || c.exchange.logged {
		return exchange{}, false
	}
	c.exchange.logged = true
	return c.exchange, true
}

// bytesRead returns the bytes of requests since the last answer.
func (c *callerConn) bytesRead() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.exchange.read
}

// logUnanswered logs a connection that ends with a request and without an answer.
func (cs *Conns) logUnanswered(c *callerConn) {
	x, ok := c.takeUnanswered()
	if !ok {
		return
	}
	unansweredTotal.Inc()
	cs.log.WithField("id", cs.requestID(x.request)).WithField("caller", c.RemoteAddr().String()).WithField("bytes", x.read).
		WithField("ms", time.Since(x.since).Milliseconds()).Info("connection ended without an answer")
}

// LogUnanswered logs the connections that are about to be closed with a request and without
// an answer. It is called before the server is closed.
func (cs *Conns) LogUnanswered() { cs.each(cs.logUnanswered) }

// requestID returns the ID of a request for the log.
func (cs *Conns) requestID(r *http.Request) string {
	if cs.RequestID == nil {
		return ""
	}
	return cs.RequestID(r)
}
