package relay

import (
	"context"

	"wisteriafield/internal/backend/registry"
	"wisteriafield/internal/backend/server"
	"wisteriafield/internal/decision/suspicion"
)

// ask passes the engine's report on, if it answers.
func (s *stream) ask(ctx context.Context, target *registry.Entry, signs chan<- server.Report) {
	report, ok := s.relay.ask(ctx, target)
	if !ok {
		return
	}
	select {
	case signs <- report:
	case <-ctx.Done():
	}
}

// aheadBy is how many events an engine must have made beyond those that arrived
// for the connection to be in doubt; fewer may be on their way.
const aheadBy = 4

// judge tells what a report says of this run. Requests that wait or are read are
// active, but not among an engine's runs.
func (s *stream) judge(report server.Report) suspicion.ProbeResult {
	for _, run := range report.Attempts {
		if run.ID != s.req.ID {
			continue
		}
		if run.Events >= s.after+aheadBy {
			return suspicion.Ahead
		}
		return suspicion.Working
	}
	if report.Queued > 0 || report.Active > len(report.Attempts) {
		return suspicion.Working
	}
	return suspicion.Missing
}
