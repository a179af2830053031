package front

import (
	"io"
	"net/http"
	"os"
	"time"

	"github.com/pkg/errors"

	"wisteriafield/internal/backend/answerbody"
	"wisteriafield/internal/backend/server"
	"wisteriafield/internal/caller/http1"
	"wisteriafield/internal/config/routes"
	"wisteriafield/internal/decision/answermemory"
)

// discardTimeout bounds the wait for the body of a request that is refused.
const discardTimeout = time.Second

// maxDiscard is the largest body, in bytes, of a refused request whose connection is kept.
const maxDiscard = 64 << 10

// bodyLimit returns the largest body, in bytes, that is read.
func bodyLimit(table *routes.Table) int64 {
	if table.Limits.MaxBody > 0 {
		return table.Limits.MaxBody
	}
	return defaultMaxBody
}

// limitReading bounds the reading of a request's body, which is not complete yet, until the
// returned function is called.
func limitReading(w http.ResponseWriter, r *http.Request, deadline time.Time) (end func()) {
	if r.ContentLength == 0 {
		return func() {}
	}
	connection := http.NewResponseController(w)
	_ = connection.SetReadDeadline(deadline)
	return func() { _ = connection.SetReadDeadline(time.Time{}) }
}

// discardBody reads the body of a request that is refused. net/http reads only a part of
// it and then resets the connection, and a caller who is still sending loses the answer.
func discardBody(w http.ResponseWriter, r *http.Request, limit int64) {
	if r.Header.Get("Expect") != "" {
		return // the caller sends the body only if it is asked to
	}
	if http1.DiscardsUnread(r) {
		limit = min(limit, maxDiscard) // reading it by chunks takes more time than the connection does
	}
	defer limitReading(w, r, time.Now().Add(discardTimeout))()
	if _, err := io.Copy(io.Discard, http.MaxBytesReader(w, r.Body, limit)); err != nil {
		w.Header().Set("Connection", "close")
	}
}

// countingReader counts the bytes that are read.
type countingReader struct {
	io.Reader
	count int
}

func (r *countingReader) Read(p []byte) (int, error) {
	n, err := r.Reader.Read(p)
	r.count += n
	return n, err
}

// readBody reads the complete body, since a request may be sent more than once, until the
// request's deadline. The status is 0, or the one that rejects the request. The caller has to
// release the body.
func (h *Handler) readBody(w http.ResponseWriter, r *http.Request, table *routes.Table, req *server.Request) (*answerbody.Body, int) {
	limit := min(bodyLimit(table), h.cfg.Memory.Limit()) // a larger one would never find room
	body, read, err := h.readWithin(w, r, limit, req.AnswerBy())
	var tooLarge *http.MaxBytesError
	switch {
	case err == nil:
		return body, 0
	case errors.Is(err, answermemory.ErrExhausted):
		wait := retryDelay(req, time.Now())
		h.cfg.Log.WithField("id", req.ID).WithField("bytes", read).WithField("retryAfter", wait.Seconds()).Info("request refused: bodies take too much memory")
		discardBody(w, r, limit)
		setRetryAfter(w, wait)
		return nil, http.StatusServiceUnavailable
	case errors.As(err, &tooLarge):
		return nil, http.StatusRequestEntityTooLarge
	case errors.Is(err, os.ErrDeadlineExceeded):
		h.cfg.Log.WithField("id", req.ID).WithField("bytes", read).Info("request rejected: body did not arrive in time")
		return nil, http.StatusRequestTimeout
	default:
		return nil, http.StatusBadRequest
	}
}

// readWithin reads a body until a deadline, and returns how many bytes were read.
func (h *Handler) readWithin(w http.ResponseWriter, r *http.Request, limit int64, deadline time.Time) (*answerbody.Body, int, error) {
	defer limitReading(w, r, deadline)()
	breakOff := func() { _ = http.NewResponseController(w).SetReadDeadline(time.Now()) }
	reader := &countingReader{Reader: http.MaxBytesReader(w, r.Body, limit)}
	body, err := answerbody.Read(reader, int(limit), h.cfg.Memory, breakOff)
	return body, reader.count, err
}
