package relay

import (
	"context"

	"wisteriafield/internal/backend/registry"
	"wisteriafield/internal/backend/server"
	"wisteriafield/internal/decision/suspicion"
)

// probe probes the engine and sends its report to the channel, if it answers.
func (s *stream) probe(ctx context.Context, target *registry.Entry, reports chan<- server.Report) {
	report, ok := s.relay.probe(ctx, target)
	if !ok {
		return
	}
	select {
	case reports <- report:
	case <-ctx.Done():
	}
}

// minEventsAhead is how many events an engine must have generated beyond those that
// arrived for the connection to be in doubt; fewer may be in transit.
const minEventsAhead = 4

// classifyReport returns what an engine's report says of this attempt. The report lists
// only the attempts that are generating: one that is queued, or whose prompt is being
// prefilled, counts as queued or active but is not listed.
func (s *stream) classifyReport(report server.Report) suspicion.ProbeResult {
	for _, attempt := range report.Attempts {
		if attempt.ID != s.req.ID {
			continue
		}
		if attempt.Events >= s.lastEventID+minEventsAhead {
			return suspicion.Ahead
		}
		return suspicion.Working
	}
	if report.Queued > 0 || report.Active > len(report.Attempts) {
		return suspicion.Working
	}
	return suspicion.Missing
}
