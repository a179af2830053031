package connpool

import (
	"context"
	"net"

	"github.com/VictoriaMetrics/metrics"
)

var (
	openedTotal    = metrics.NewCounter("wisteriafield_server_connections_opened_total")
	reusedTotal    = metrics.NewCounter("wisteriafield_server_connections_reused_total")
	idleRacesTotal = metrics.NewCounter("wisteriafield_server_connections_idle_races_total")
	silentTotal    = metrics.NewCounter("wisteriafield_server_connections_silent_total")
)

// CountDials counts the connections that a dial function opens.
func CountDials(dial func(ctx context.Context, network, address string) (net.Conn, error)) func(ctx context.Context, network, address string) (net.Conn, error) {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dial(ctx, network, address)
		if err == nil {
			openedTotal.Inc()
		}
		return conn, err
	}
}
