package cli

import (
	"context"
	"math/rand/v2"
	"os"
	"os/signal"
	"syscall"
	"time"

	"wisteriafield/internal/base/loop"
	"wisteriafield/internal/standin/faults"
	"wisteriafield/platform/kv"
	"wisteriafield/platform/standin/backend"
)

// storeTimeout is below the heartbeat interval.
const storeTimeout = 500 * time.Millisecond

// A server is back between minDownTime and maxDownTime after a crash.
const (
	minDownTime = time.Second
	maxDownTime = 3 * time.Second
)

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
	Deadly    string        `long:"deadly" description:"a request with this text in its path, body or prompt crashes the server"`
	Delay     time.Duration `long:"crash-delay" description:"how long a deadly request runs, whether its connection is open or not; 0: it varies"`
	Drain     time.Duration `long:"drain" default:"4s" description:"how long it serves after it announced that it is leaving"`
}

// Execute runs a backend server until SIGTERM or SIGINT and lets it drain. A server that has
// crashed is back after a while as a new incarnation.
func (c *backendCommand) Execute([]string) error {
	if c.Advertise == "" {
		c.Advertise = c.Listen
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	store := kv.New(kv.Config{Address: c.Store, Timeout: storeTimeout})
	cfg := backend.Config{
		Name: c.Name, Service: c.Service, Domain: c.Domain, Slots: c.Slots, Engine: c.Engine,
		Advertise: c.Advertise, ServiceTime: c.Work, EventInterval: c.Gap, DeadlyMarker: c.Deadly, CrashDelay: c.Delay, Log: os.Stdout,
	}
	for {
		b := backend.New(cfg)
		s, err := faults.Start(c.Listen, &faults.Injector{}, b.Handler())
		if err != nil {
			return err
		}
		if !c.runIncarnation(ctx, b, s, store) || !loop.Sleep(ctx, minDownTime+rand.N(maxDownTime-minDownTime)) {
			return nil
		}
		cfg.ID = ""
		if rand.IntN(4) == 0 {
			cfg.ID = b.ID()
		}
	}
}

// runIncarnation serves until the server has drained or crashed, and reports whether it has
// crashed.
func (c *backendCommand) runIncarnation(ctx context.Context, b *backend.Server, s *faults.Server, store *kv.Client) (crashed bool) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		b.KeepRegistered(ctx, store, c.Drain)
	}()
	select {
	case <-b.Crashed():
		s.Kill()
		cancel()
		<-ended
		return true
	case <-ended:
		s.Kill()
		return false
	}
}
