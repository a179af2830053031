package cli

import (
	"context"
	"os"
	"os/signal"
	"syscall"
	"time"

	"wisteriafield/internal/standin/faults"
	"wisteriafield/platform/kv"
	"wisteriafield/platform/standin/backend"
)

// storeTimeout is below the heartbeat interval.
const storeTimeout = 500 * time.Millisecond

type backendCommand struct {
	listenOptions
	Name      string        `long:"name" required:"true"`
	Service   string        `long:"service" required:"true"`
	Domain    string        `long:"domain"`
	Advertise string        `long:"advertise" description:"address to register; default: the listen address"`
	Store     string        `long:"store" required:"true" description:"IP:PORT"`
	Slots     int           `long:"slots" default:"16"`
	Engine    bool          `long:"engine"`
	Work      time.Duration `long:"work" default:"15ms"`
	Gap       time.Duration `long:"gap" default:"25ms"`
	Drain     time.Duration `long:"drain" default:"4s" description:"how long it serves after it announced that it is leaving"`
}

// Execute runs a backend server until SIGTERM or SIGINT and lets it drain.
func (c *backendCommand) Execute([]string) error {
	if c.Advertise == "" {
		c.Advertise = c.Listen
	}
	b := backend.New(backend.Config{
		Name: c.Name, Service: c.Service, Domain: c.Domain, Slots: c.Slots, Engine: c.Engine,
		Advertise: c.Advertise, ServiceTime: c.Work, EventInterval: c.Gap, Log: os.Stdout,
	})
	s, err := faults.Start(c.Listen, &faults.Injector{}, b.Handler())
	if err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	b.KeepRegistered(ctx, kv.New(kv.Config{Address: c.Store, Timeout: storeTimeout}), c.Drain)
	s.Kill()
	return nil
}
