package openai

import (
	"encoding/json"
	"net/http"

	"wisteriafield/internal/caller/apierror"
)

// eventWriter writes server-sent events.
type eventWriter struct {
	w           http.ResponseWriter
	control     *http.ResponseController
	headersSent bool
}

func newEventWriter(w http.ResponseWriter) *eventWriter {
	return &eventWriter{w: w, control: http.NewResponseController(w)}
}

// writeHeader writes the status and the headers before the first event.
func (e *eventWriter) writeHeader() {
	if e.headersSent {
		return
	}
	e.headersSent = true
	e.w.Header().Set("Content-Type", "text/event-stream")
	e.w.Header().Set("Cache-Control", "no-cache")
	e.w.WriteHeader(http.StatusOK)
}

// writeEvent writes an event whose data is body as JSON.
func (e *eventWriter) writeEvent(id string, body any) {
	e.writeHeader()
	encoded, _ := json.Marshal(body)
	e.writeData(id, encoded)
}

// writeData writes an event; an empty id is omitted.
func (e *eventWriter) writeData(id string, data []byte) {
	LimitWriting(e.w) // a full buffer is written before the flush
	if id != "" {
		_, _ = e.w.Write([]byte("id: " + id + "\n"))
	}
	_, _ = e.w.Write([]byte("data: "))
	_, _ = e.w.Write(data)
	_, _ = e.w.Write([]byte("\n\n"))
}

func (e *eventWriter) flush() error {
	LimitWriting(e.w)
	return e.control.Flush()
}

// writeDone writes the event that ends the stream.
func (e *eventWriter) writeDone() {
	e.writeData("", []byte("[DONE]"))
	_ = e.flush()
}

// writeRefusal sends a refusal as the HTTP response, or as an event if the headers
// were sent.
func (e *eventWriter) writeRefusal(refusal *apierror.Error) {
	if !e.headersSent {
		refusal.Write(e.w)
		return
	}
	e.writeData("", refusal.JSON())
	_ = e.flush()
}
