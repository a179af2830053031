package edge

import (
	"context"

	"wisteriafield/internal/backend/server"
	decision "wisteriafield/internal/decision/quarantine"
	"wisteriafield/internal/router/forward"
	"wisteriafield/internal/router/quarantine"
	"wisteriafield/internal/router/relay"
)

// Client sends requests to backend servers.
type Client interface {
	relay.Client
	forward.Client
	// CheckHealth asks a server for its health at a path. The error says that nothing was learned.
	CheckHealth(ctx context.Context, s *server.Server, path string) (decision.Sign, error)
}

// serverChecks returns how servers are checked that have abandoned attempts.
func (e *Edge) serverChecks() quarantine.Checks {
	return quarantine.Checks{
		Listens: func(ctx context.Context, address string) (bool, error) { return e.cfg.Client.Listens(ctx, address) },
		Probe:   e.checkHealth,
		Leaves:  e.servers.Leaves, Removed: e.servers.Removed, Replaced: e.servers.Replaced, Health: e.servers.Health,
	}
}

// checkHealth asks a server for its health. Engines have none, and so has a service that is not
// configured any more; whether something accepts connections is checked then.
func (e *Edge) checkHealth(ctx context.Context, s *server.Server) (decision.Sign, error) {
	if table := e.routeTable.Load(); table != nil {
		if service := table.Service(s.Service); service != nil && service.Engine == nil && service.HealthPath != "" {
			return e.cfg.Client.CheckHealth(ctx, s, service.HealthPath)
		}
	}
	return quarantine.CheckAddress(ctx, e.cfg.Client.Listens, s.Address)
}
