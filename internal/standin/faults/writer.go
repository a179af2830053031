package faults

import "net/http"

// faultyWriter delays writes during a pause. On a silent connection it discards them and
// reports success, since the buffers between two hosts accept data that never arrives.
type faultyWriter struct {
	http.ResponseWriter
	injector *Injector
	request  *http.Request
}

// waitWhilePaused returns when the stand-in is not paused or the request has ended.
func (w *faultyWriter) waitWhilePaused() {
	for {
		resumed := w.injector.pauseEnd()
		if resumed == nil {
			break
		}
		select {
		case <-resumed:
		case <-w.request.Context().Done():
			return
		}
	}
}

// silent reports whether the connection was silenced.
func (w *faultyWriter) silent() bool {
	opened, ok := w.request.Context().Value(connEpochKey{}).(int64)
	return ok && opened < w.injector.silenceEpoch.Load()
}

// blockIfSilent blocks until the client closes the connection, if it is silent.
func (w *faultyWriter) blockIfSilent() {
	if w.silent() {
		<-w.request.Context().Done()
	}
}

// Write writes p once the stand-in is not paused.
func (w *faultyWriter) Write(p []byte) (int, error) {
	w.waitWhilePaused()
	if w.silent() {
		return len(p), nil
	}
	return w.ResponseWriter.Write(p)
}

// Flush sends buffered data once the stand-in is not paused.
func (w *faultyWriter) Flush() {
	w.waitWhilePaused()
	if w.silent() {
		return
	}
	if f, ok := w.ResponseWriter.(http.Flusher); ok {
		f.Flush()
	}
}
