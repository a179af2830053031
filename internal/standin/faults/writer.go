package faults

import "net/http"

// gatedWriter holds writes back during a pause and, on a silent connection,
// until the peer gives up.
type gatedWriter struct {
	http.ResponseWriter
	gate *Gate
	r    *http.Request
}

func (w *gatedWriter) wait() {
	for {
		c := w.gate.pausedUntil()
		if c == nil {
			break
		}
		select {
		case <-c:
		case <-w.r.Context().Done():
			return
		}
	}
	if opened, ok := w.r.Context().Value(connKey{}).(int64); ok && opened < w.gate.epoch.Load() {
		<-w.r.Context().Done()
	}
}

// Write writes when the gate lets it.
func (w *gatedWriter) Write(p []byte) (int, error) {
	w.wait()
	return w.ResponseWriter.Write(p)
}

// Flush sends what was written.
func (w *gatedWriter) Flush() {
	w.wait()
	if f, ok := w.ResponseWriter.(http.Flusher); ok {
		f.Flush()
	}
}
