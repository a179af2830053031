package http1

import (
	"context"
	"net"
	"net/http"
)

// headerRetryAfter, in seconds, is when a caller whose header found no memory should come again.
const headerRetryAfter = "1"

type connKey struct{}

// Attach makes a server with a handler record what happens on its connections, which come
// from a listener of Listen.
func (cs *Conns) Attach(s *http.Server) {
	s.Handler = cs.markServing(s.Handler)
	s.DisableGeneralOptionsHandler = true // all requests are marked
	s.ConnContext = func(ctx context.Context, conn net.Conn) context.Context {
		return context.WithValue(ctx, connKey{}, conn)
	}
	s.ConnState = cs.stateChanged
}

// markServing records that the handler of a request has begun, and has its answer say that
// the connection closes if the server stops before the answer begins.
func (cs *Conns) markServing(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		cw := &closingWriter{ResponseWriter: w, conns: cs, r: r}
		if c, ok := r.Context().Value(connKey{}).(*callerConn); ok {
			cw.c = c
			fits := c.beginServing(r)
			if r.ContentLength != 0 {
				tracked := *r // net/http looks at the type of the body that it made
				tracked.Body = trackedBody{r.Body, c}
				r = &tracked
			}
			if !fits {
				refuseHeader(cw)
				cw.finish()
				return
			}
		}
		h.ServeHTTP(cw, r)
		cw.finish()
	})
}

// refuseHeader answers a request whose header takes too much memory beside others.
func refuseHeader(w http.ResponseWriter) {
	w.Header().Set("Connection", "close")
	w.Header().Set("Retry-After", headerRetryAfter)
	w.WriteHeader(http.StatusServiceUnavailable)
}

// ResetOnClose makes the connection of a request end with a reset, so that an answer that
// ends with its connection, as for HTTP/1.0, does not look complete.
func ResetOnClose(r *http.Request) {
	c, ok := r.Context().Value(connKey{}).(*callerConn)
	if !ok || r.ProtoAtLeast(1, 1) {
		return
	}
	if conn, ok := c.Conn.(interface{ SetLinger(sec int) error }); ok {
		_ = conn.SetLinger(0)
	}
}

// stateChanged is the ConnState hook of the server.
func (cs *Conns) stateChanged(conn net.Conn, state http.ConnState) {
	c, ok := conn.(*callerConn)
	if !ok {
		return
	}
	cs.used(c)
	switch state {
	case http.StateIdle:
		c.setPhase(Idle)
	case http.StateClosed, http.StateHijacked:
		if c.currentPhase() == Closing {
			return // until it has closed
		}
		cs.remove(c)
		cs.logUnanswered(c)
		if c.currentPhase() == Reading {
			endedWhileReadTotal.Inc()
			cs.log.WithField("caller", c.RemoteAddr().String()).WithField("bytes", c.bytesRead()).Info("connection ended while a request was read")
		}
	}
}
