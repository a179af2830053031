package http1

import "net/http"

// closingWriter tells the caller of an answer whose header is written while the server stops
// that the connection closes. Otherwise its next request might cross the end. It does so too
// while new connections find no room: one that always has a next request would never end.
type closingWriter struct {
	http.ResponseWriter
	conns   *Conns
	written bool
	c       *callerConn // nil if the connection is not a caller's
	r       *http.Request
	refusal *refusal // nil unless the request was not read
}

// begin is called before the header of the answer is written.
func (w *closingWriter) begin(status int) {
	if w.written {
		return
	}
	w.written = true
	if w.conns.stopping.Load() {
		w.Header().Set("Connection", "close")
	}
	switch {
	case w.refuses():
		w.beginRefusal(status)
	case w.conns.givesWay():
		w.Header().Set("Connection", "close")
	}
}

func (w *closingWriter) WriteHeader(status int) {
	if status >= http.StatusOK {
		w.begin(status)
	}
	if w.refusal == nil {
		w.ResponseWriter.WriteHeader(status)
	}
}

func (w *closingWriter) Write(p []byte) (int, error) {
	w.begin(http.StatusOK)
	if w.refusal == nil {
		return w.ResponseWriter.Write(p)
	}
	if w.refusal.body.Len()+len(p) > maxRefusal {
		return 0, http.ErrContentLength
	}
	return w.refusal.body.Write(p)
}

// FlushError writes the header if it is not written yet.
func (w *closingWriter) FlushError() error {
	w.begin(http.StatusOK)
	if w.refusal != nil {
		return nil // until finish
	}
	return http.NewResponseController(w.ResponseWriter).Flush()
}

// Unwrap lets http.ResponseController find the writer's other methods.
func (w *closingWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }
