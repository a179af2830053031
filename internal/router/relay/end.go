package relay

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/pkg/errors"
)

// endReason says why a stream ended without its complete answer.
type endReason string

const (
	callerLeft           endReason = "CallerLeft"
	timeIsUp             endReason = "TimeIsUp" // of the caller or the route
	routerStopped        endReason = "RouterStopped"
	enginesRefused       endReason = "EnginesRefused"
	noEngine             endReason = "NoEngine" // that is usable
	notResumable         endReason = "NotResumable"
	attemptsUsed         endReason = "AttemptsUsed"
	retryBudgetExhausted endReason = "RetryBudgetExhausted"
	requestQuarantined   endReason = "RequestQuarantined"
	callerReadsSlowly    endReason = "CallerReadsSlowly"
)

// contextEndReason returns why a stream's context has ended.
func contextEndReason(ctx context.Context) endReason {
	switch cause := context.Cause(ctx); {
	case errors.Is(cause, context.DeadlineExceeded):
		return timeIsUp
	case errors.Is(cause, context.Canceled):
		return callerLeft
	default:
		return routerStopped
	}
}

// abandon ends a stream that cannot be completed. The end of its context goes before the
// reason.
func (s *stream) abandon(ctx context.Context, reason endReason) {
	if ctx.Err() != nil {
		reason = contextEndReason(ctx)
	}
	s.recordAbandoned(ctx, reason)
	switch {
	case s.headersSent:
		s.cut()
	case s.executed == 0 && ctx.Err() == nil:
		s.refuse("engines refused")
	case ctx.Err() != nil:
		s.w.WriteHeader(http.StatusGatewayTimeout)
	default:
		s.w.WriteHeader(http.StatusBadGateway)
	}
}

// recordAbandoned logs and counts a stream that ends without its complete answer.
func (s *stream) recordAbandoned(ctx context.Context, reason endReason) {
	abandonedTotal.Inc()
	abandonedByReasonTotal(reason, s.headersSent).Inc()
	s.relay.cfg.Log.WithField("id", s.req.ID).WithField("event", s.lastEventID).WithField("begun", s.headersSent).
		WithField("ran", s.executed).WithField("refusals", s.refusals).WithField("reason", string(reason)).
		WithField("callerLeft", ctx.Err() != nil).WithField("ageMs", time.Since(s.req.ArrivedAt).Milliseconds()).
		WithField("leftMs", time.Until(s.req.Deadline).Milliseconds()).WithField("config", s.req.ConfigVersion).Info("stream abandoned")
}

// cut ends the connection of an answer that has begun, so that it does not look complete.
func (s *stream) cut() { panic(http.ErrAbortHandler) }

// abandonedByReasonTotal counts the streams that ended without their complete answer.
func abandonedByReasonTotal(reason endReason, begun bool) *metrics.Counter {
	return metrics.GetOrCreateCounter(fmt.Sprintf("wisteriafield_streams_abandoned_total{reason=%q,begun=\"%t\"}", reason, begun))
}
