package openai

import (
	"io"
	"net/http"
	"os"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/pkg/errors"

	"wisteriafield/internal/backend/answerbody"
	"wisteriafield/internal/caller/apierror"
	"wisteriafield/internal/caller/http1"
	"wisteriafield/internal/decision/answermemory"
)

const (
	// discardTimeout bounds the wait for the rest of a body that is refused.
	discardTimeout = time.Second
	// bodyRetryDelay is when a caller whose body found no memory or did not arrive should come again.
	bodyRetryDelay = time.Second
)

var bodiesRefusedTotal = metrics.NewCounter("wisteriafield_request_bodies_refused_total")

// Bodies bounds the bodies of requests.
type Bodies struct {
	MaxBytes int64 // of one
	Timeout  time.Duration
	Memory   *answermemory.Budget // of all until their requests are answered
}

// Read reads a body. The caller has to release it.
func (b Bodies) Read(w http.ResponseWriter, r *http.Request) (*answerbody.Body, *apierror.Error) {
	control := http.NewResponseController(w)
	_ = control.SetReadDeadline(time.Now().Add(b.Timeout))
	limit := min(b.MaxBytes, b.Memory.Limit()) // a larger one would never find room
	breakOff := func() { _ = control.SetReadDeadline(time.Now()) }
	body, err := answerbody.Read(http.MaxBytesReader(w, r.Body, limit), int(limit), b.Memory, breakOff)
	if err == nil {
		_ = control.SetReadDeadline(time.Time{})
		return body, nil
	}
	var tooLarge *http.MaxBytesError
	switch {
	case errors.Is(err, answermemory.ErrExhausted):
		bodiesRefusedTotal.Inc()
		w.Header().Set("Connection", "close")
		if r.Header.Get("Expect") == "" && !http1.DiscardsUnread(r) {
			// A caller who is still sending would lose the answer.
			_ = control.SetReadDeadline(time.Now().Add(discardTimeout))
			_, _ = io.Copy(io.Discard, http.MaxBytesReader(w, r.Body, limit))
		}
		return nil, apierror.NewRetryable(apierror.NotRun, "bodies of requests take too much memory", time.Now().Add(bodyRetryDelay))
	case errors.As(err, &tooLarge):
		w.Header().Set("Connection", "close") // otherwise net/http reads on before it answers
		return nil, apierror.New(apierror.RequestTooLarge, "body is too large")
	case errors.Is(err, os.ErrDeadlineExceeded):
		w.Header().Set("Connection", "close")
		return nil, apierror.NewRetryable(apierror.NotRun, "body did not arrive in time", time.Now().Add(bodyRetryDelay))
	}
	return nil, apierror.New(apierror.BadRequest, "body could not be read")
}
