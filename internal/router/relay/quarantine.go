package relay

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"wisteriafield/internal/backend/registry"
	"wisteriafield/internal/router/quarantine"
)

// crashCheckTimeout bounds the check whether an engine that broke off is gone. A host whose
// process is gone refuses a connection within a round trip.
const crashCheckTimeout = 50 * time.Millisecond

// recordEnd reports whether an engine that broke off is gone. It records a loss that may be
// the request's doing: of an engine that is gone, or had begun to answer and may be gone. The
// end of an engine that leaves is planned. One of which nothing is known is watched, and one at whose
// address something accepts connections, which need not be the engine, unless its answer was no valid one.
func (s *stream) recordEnd(target *registry.Entry, r result) bool {
	endedAt := time.Now()
	ctx, cancel := context.WithTimeout(context.Background(), crashCheckTimeout)
	defer cancel()
	listens, err := s.relay.cfg.Client.Listens(ctx, target.Address)
	gone := err == nil && !listens
	switch {
	case s.relay.cfg.Servers.Leaves(&target.Server), err == nil && listens && !r.brokeOff:
	case err == nil && listens:
		s.relay.cfg.Quarantine.AnswerBrokenOff(s.req, &target.Server, quarantine.BrokenOff{At: endedAt, Answered: r.began, Events: r.events})
	case r.began:
		s.relay.cfg.Quarantine.ServerLost(s.req, &target.Server, r.events)
	case gone:
		s.relay.cfg.Quarantine.ServerLostUnanswered(s.req, &target.Server)
	default:
		s.relay.cfg.Quarantine.AnswerBrokenOff(s.req, &target.Server, quarantine.BrokenOff{At: endedAt, Answered: r.began, Events: r.events})
	}
	return gone
}

// refusedByQuarantine reports whether the request's prompt crashes engines. If so, it has
// answered the caller.
func (s *stream) refusedByQuarantine(ctx context.Context) bool {
	until, refused := s.relay.cfg.Quarantine.Refuses(s.req)
	if !refused {
		return false
	}
	switch {
	case s.executed > 0:
		s.recordAbandoned(ctx, requestQuarantined)
		s.fail(http.StatusBadGateway)
	default:
		refusedTotal.Inc()
		s.w.Header().Set("Retry-After", strconv.FormatFloat(time.Until(until).Seconds(), 'f', 1, 64))
		s.w.WriteHeader(http.StatusServiceUnavailable)
	}
	return true
}
