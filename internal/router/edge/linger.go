package edge

import (
	"io"
	"time"

	"github.com/VictoriaMetrics/metrics"
)

// lingerTime is above the time that the end of a connection takes to reach its caller.
const lingerTime = 500 * time.Millisecond

var requestsCrossedTotal = metrics.NewCounter("wisteriafield_requests_crossed_connection_end_total")

// linger ends a connection on which no request arrived in time. What the caller sends until
// it sees the end is discarded: closing with unread bytes would reset the connection.
func (c *callerConn) linger() {
	_ = c.CloseWrite()
	_ = c.SetReadDeadline(time.Now().Add(lingerTime))
	if n, _ := io.Copy(io.Discard, c.Conn); n > 0 {
		requestsCrossedTotal.Inc()
		c.log.WithField("caller", c.RemoteAddr().String()).WithField("bytes", n).Info("request crossed the end of its connection")
	}
}
