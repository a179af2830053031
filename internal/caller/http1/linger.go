package http1

import (
	"io"
	"time"

	"github.com/VictoriaMetrics/metrics"
)

const (
	// lingerTime is above the time that the end of a connection takes to reach its caller.
	lingerTime = 500 * time.Millisecond
	// maxDiscard is what is discarded of one connection, in bytes: the largest body of a request
	// by default.
	maxDiscard = 16 << 20
	// timeoutAnswer (RFC 9110, 15.5.9) tells a caller whose request is under way that it
	// was not read. Clients drop an idle connection on which it arrives.
	timeoutAnswer = "HTTP/1.1 408 Request Timeout\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
)

var requestsCrossedTotal = metrics.NewCounter("wisteriafield_requests_crossed_connection_end_total")

// linger ends a connection on which no request arrived in time. What the caller sends until
// it sees the end is discarded: closing with unread bytes would reset the connection, and
// the answer would be lost.
func (c *callerConn) linger() {
	_ = c.SetWriteDeadline(time.Now().Add(lingerTime))
	_, _ = io.WriteString(c.Conn, timeoutAnswer)
	c.discard()
}

// discard ends the sending and discards what arrives until the caller ends the connection,
// at most for lingerTime and maxDiscard.
func (c *callerConn) discard() {
	_ = c.CloseWrite()
	_ = c.Conn.SetReadDeadline(time.Now().Add(lingerTime))
	if n, _ := io.CopyN(io.Discard, c.Conn, maxDiscard); n > 0 {
		requestsCrossedTotal.Inc()
		c.log.WithField("caller", c.RemoteAddr().String()).WithField("bytes", n).Info("request crossed the end of its connection")
	}
}

// Close closes the connection. After an answer it does so in the background: what the caller
// has sent and nobody has read would reset the connection and cut the answer.
func (c *callerConn) Close() error {
	if !c.beginClosing() {
		return c.Conn.Close()
	}
	go func() {
		c.discard()
		_ = c.Conn.Close()
		c.onClosed(c)
	}()
	return nil
}

// beginClosing returns false if there is no answer to protect.
func (c *callerConn) beginClosing() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.phase != Serving || !c.answered {
		return false
	}
	c.phase, c.since = Closing, time.Now()
	return true
}

// failRead lets a read of a request fail, unless the connection is ending already.
func (c *callerConn) failRead() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.ended && c.phase != Closing {
		_ = c.setReadDeadline(time.Now())
	}
}

// setAnswered records that the handler of a request has returned. net/http reads what is left of
// a small body, for which it sets no deadline.
func (c *callerConn) setAnswered() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.answered = true
	if c.unread {
		_ = c.setReadDeadline(time.Now().Add(lingerTime))
	}
}
