package relay

import (
	"context"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"wisteriafield/internal/backend/registry"
)

const (
	// minHold is how long a caller has to hold up the reading of an answer to be the cause of its
	// end. Servers wait for some seconds before they cut off an answer that is not read.
	minHold = time.Second
	// holdMemory is how long afterwards the end may still arrive.
	holdMemory = 2 * time.Second
	// caughtUpWait is less than the time between two events of an engine: a read that takes
	// longer has found nothing waiting.
	caughtUpWait = 20 * time.Millisecond
)

var slowCallersTotal = metrics.NewCounter("wisteriafield_streams_cut_for_slow_callers_total")

// hold measures for how long a caller has held up the reading of an answer.
type hold struct {
	sum   time.Duration // since the answer was last read as far as it had arrived
	until time.Time     // end of the last one of minHold or more
}

// observe records a read, from start to end, whose result was passed on at now.
func (h *hold) observe(start, end, now time.Time) {
	if end.Sub(start) > caughtUpWait {
		h.sum = 0
	}
	h.sum += now.Sub(end)
	if h.sum >= minHold {
		h.until = now
	}
}

// explains reports whether the caller may be the cause of an answer's end.
func (h *hold) explains(now time.Time) bool {
	return !h.until.IsZero() && now.Sub(h.until) < holdMemory
}

// cutForCaller reports whether an answer was cut off since its caller did not read it: the
// engine is still there. It is no loss of the engine then, and another attempt would be of no
// use to a caller that does not read. That something accepts connections at its address does not show
// that an engine is there, so it is probed.
func (s *stream) cutForCaller(callerCtx context.Context, got readResult, target *registry.Entry) bool {
	if !got.held || !s.headersSent {
		return false
	}
	ctx, cancel := context.WithTimeout(callerCtx, crashCheckTimeout)
	defer cancel()
	listens, err := s.relay.cfg.Client.Listens(ctx, target.Address)
	if err != nil || !listens || s.service.Engine != nil && !s.relay.answersProbes(callerCtx, target) {
		return false
	}
	slowCallersTotal.Inc()
	return true
}
