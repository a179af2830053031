package faults

import "net/http"

// gatedWriter holds writes back during a pause. On a silent connection it
// swallows them, as buffers between two ends do, and the handler goes on.
type gatedWriter struct {
	http.ResponseWriter
	gate *Injector
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
}

// silent reports whether the connection went silent.
func (w *gatedWriter) silent() bool {
	opened, ok := w.r.Context().Value(connKey{}).(int64)
	return ok && opened < w.gate.epoch.Load()
}

// hang waits until the peer gives up, if the connection is silent.
func (w *gatedWriter) hang() {
	if w.silent() {
		<-w.r.Context().Done()
	}
}

// Write writes when the gate lets it.
func (w *gatedWriter) Write(p []byte) (int, error) {
	w.wait()
	if w.silent() {
		return len(p), nil
	}
	return w.ResponseWriter.Write(p)
}

// Flush sends what was written.
func (w *gatedWriter) Flush() {
	w.wait()
	if w.silent() {
		return
	}
	if f, ok := w.ResponseWriter.(http.Flusher); ok {
		f.Flush()
	}
}
