package front

import (
	"bytes"
	"io"
	"net/http"
	"time"

	"wisteriafield/internal/base/loop"
	"wisteriafield/internal/config/routes"
)

const (
	// startWaitDivisor is the part of its caller's remaining time for which a request waits for
	// the first configuration, at most maxStartWait. A caller that is refused uses up a retry.
	startWaitDivisor = 8
	maxStartWait     = 2 * time.Second
	// startCheckInterval is the time between two checks whether there is a configuration.
	startCheckInterval = 20 * time.Millisecond
)

// awaitTable waits for the first configuration of a router that has just started and returns its
// routes, or nil if it takes too long. The body is read meanwhile, since callers abandon requests
// that are not read; the caller has to call release after the request.
func (h *Handler) awaitTable(w http.ResponseWriter, r *http.Request, now time.Time) (table *routes.Table, release func()) {
	release = func() {}
	req := h.cfg.Protocol.DecodeRequest(r, now)
	if req.Deadline.IsZero() {
		return nil, release
	}
	wait := min(req.Deadline.Sub(now)/startWaitDivisor, maxStartWait)
	until := now.Add(wait)
	body, _, err := h.readWithin(w, r, min(defaultMaxBody, h.cfg.Memory.Limit()), until)
	if err != nil {
		return nil, release
	}
	r.Body = io.NopCloser(bytes.NewReader(body.Bytes()))
	for table = h.cfg.Table(); table == nil && time.Now().Before(until) && !h.cfg.Stopping(); table = h.cfg.Table() {
		if !loop.Sleep(r.Context(), startCheckInterval) {
			break
		}
	}
	if table != nil {
		h.cfg.Log.WithField("id", req.ID).WithField("ms", time.Since(now).Milliseconds()).Info("request waited for the first configuration")
	}
	return table, body.Release
}
