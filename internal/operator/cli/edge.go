package cli

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/sirupsen/logrus"

	"wisteriafield/internal/base/jsonlog"
	"wisteriafield/internal/decision/retrybudget"
	"wisteriafield/internal/router/edge"
	"wisteriafield/platform"
	"wisteriafield/platform/kv"
)

const (
	// storeTimeout ends a call of the store, which answers in 4 ms; a slow one
	// takes some 60 times as long.
	storeTimeout = 900 * time.Millisecond
	// logFlush bounds the wait for a slow reader of the logs at the end.
	logFlush = 100 * time.Millisecond
	// memoryShare of the host's memory is the runtime's soft limit.
	memoryShare = 0.7
	// repeatShare is how much of the shared bound on repeats the routers use: a burst
	// is over before peers have told of it, they
	// count by their own clocks, and those that died took counted requests along.
	repeatShare = 0.7
)

type edgeCommand struct {
	Settings string `long:"settings" description:"the platform's settings file; default: the file that the platform's variable names"`
}

// Execute runs a router on the users' platform.
func (c *edgeCommand) Execute([]string) error {
	path := c.Settings
	if path == "" {
		path = os.Getenv(platform.SettingsVariable)
	}
	s, err := platform.LoadSettings(path)
	if err != nil {
		return err
	}
	sink := jsonlog.NewSink(os.Stdout)
	defer func() { sink.Flush(time.Now().Add(logFlush)) }()
	debug.SetMemoryLimit(int64(memoryShare * float64(s.MemoryBytes)))
	log := jsonlog.New(sink)
	e := edge.New(edge.Config{
		Host: s.Host, Domain: s.Domain, CallerAddress: s.CallerAddress, ReadyAddress: s.ReadyAddress,
		AdminAddress: s.AdminAddress, PeerAddress: s.PeerAddress, DatagramAddress: s.DatagramAddress, Seeds: s.Seeds, LinkMbps: s.LinkMbps, Grace: s.Grace,
		RetryBudget: retrybudget.Config{Ratio: repeatShare * s.RetryRatio, Slack: repeatShare * s.RetrySlack, Window: s.RetryWindow},
		Store:       kv.New(kv.Config{Address: s.StoreAddress, Timeout: storeTimeout}),
		ConfigKey:   platform.ConfigKey, ServersPrefix: platform.ServersPrefix,
		DecodeConfig: platform.DecodeConfig, DecodeServer: platform.DecodeServer,
		Protocol: platform.CallerProtocol{}, Client: platform.NewBackendClient(), ReadyPath: platform.ReadyPath,
		Log: log,
	})
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	go follow(e, path, sink, log)
	if err := e.Run(ctx); err != nil {
		return fmt.Errorf("edge: %w", err)
	}
	return nil
}

// follow handles the signals that do not end the process: at SIGHUP the settings
// are read again and checked, at SIGUSR1 the state is printed.
func follow(e *edge.Edge, path string, out io.Writer, log *logrus.Logger) {
	signals := make(chan os.Signal, 4)
	signal.Notify(signals, syscall.SIGHUP, syscall.SIGUSR1)
	for s := range signals {
		if s == syscall.SIGUSR1 {
			if err := json.NewEncoder(out).Encode(e.Dump()); err != nil {
				log.WithError(err).Error("dump not printed")
			}
			continue
		}
		next, err := platform.LoadSettings(path)
		if err != nil {
			log.WithError(err).Error("new settings have faults; the old ones stay")
			continue
		}
		e.AddSeeds(next.Seeds)
		log.WithField("seeds", next.Seeds).Info("settings read again; addresses apply from the next start")
	}
}
