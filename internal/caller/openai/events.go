package openai

import (
	"encoding/json"
	"net/http"
	"time"

	"wisteriafield/internal/caller/apierror"
)

// eventWriter writes server-sent events.
type eventWriter struct {
	w       http.ResponseWriter
	control *http.ResponseController
	begun   bool
}

func newEventWriter(w http.ResponseWriter) *eventWriter {
	return &eventWriter{w: w, control: http.NewResponseController(w)}
}

func (e *eventWriter) begin() {
	if e.begun {
		return
	}
	e.begun = true
	e.w.Header().Set("Content-Type", "text/event-stream")
	e.w.Header().Set("Cache-Control", "no-cache")
	e.w.WriteHeader(http.StatusOK)
}

func (e *eventWriter) event(id string, body any) {
	e.begin()
	encoded, _ := json.Marshal(body)
	e.raw(id, encoded)
}

func (e *eventWriter) raw(id string, data []byte) {
	if id != "" {
		_, _ = e.w.Write([]byte("id: " + id + "\n"))
	}
	_, _ = e.w.Write([]byte("data: "))
	_, _ = e.w.Write(data)
	_, _ = e.w.Write([]byte("\n\n"))
}

func (e *eventWriter) flush() error {
	_ = e.control.SetWriteDeadline(time.Now().Add(writeTimeout))
	return e.control.Flush()
}

func (e *eventWriter) done() {
	e.raw("", []byte("[DONE]"))
	_ = e.flush()
}

// fail tells a refusal by the status, or by an event if tokens were sent.
func (e *eventWriter) fail(refusal *apierror.Error) {
	if !e.begun {
		refusal.Write(e.w)
		return
	}
	e.raw("", refusal.JSON())
	_ = e.flush()
}
