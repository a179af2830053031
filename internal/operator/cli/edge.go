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
	"wisteriafield/internal/caller/http1"
	"wisteriafield/internal/decision/answermemory"
	"wisteriafield/internal/decision/connlimit"
	"wisteriafield/internal/decision/retrybudget"
	"wisteriafield/internal/router/edge"
	"wisteriafield/platform"
	"wisteriafield/platform/kv"
)

const (
	// storeTimeout bounds a call of the store. The store answers in 4 ms; a slow
	// answer takes about 60 times as long.
	storeTimeout = 900 * time.Millisecond
	// logFlushTimeout bounds the wait for a slow reader of the logs at exit.
	logFlushTimeout = 100 * time.Millisecond
	// memoryLimitShare is the share of the host's memory that becomes the Go
	// runtime's soft memory limit.
	memoryLimitShare = 0.5
	// answerMemoryShare is the share of the host's memory for the answers of backend servers
	// that are held at the same time. Until they are collected, those of before take as much.
	answerMemoryShare = 0.1
	// requestMemoryShare is the share of the host's memory for the bodies of requests until
	// they are answered. On a host of 128 MB the largest body, of 16 MB by default, fits.
	requestMemoryShare = 0.15
	// headerMemoryShare is the share of the host's memory for the headers of requests until they
	// are answered.
	headerMemoryShare = 0.1
	// retryBudgetShare is the share of the fleet's retry budget that the routers use.
	// The rest covers the error of the distributed count: routers count by their own clocks and
	// in buckets of a tenth of the window, and the counts of routers that died are lost.
	retryBudgetShare = 0.85
)

type edgeCommand struct {
	Settings string `long:"settings" description:"the platform's settings file; default: the file named by the platform's environment variable"`
}

// Execute runs a router on the users' platform.
func (c *edgeCommand) Execute([]string) error {
	path := c.Settings
	if path == "" {
		path = os.Getenv(platform.SettingsVariable)
	}
	// A signal that arrives during the start must not end the process.
	signals := make(chan os.Signal, 4)
	signal.Notify(signals, syscall.SIGHUP, syscall.SIGUSR1)
	defer signal.Stop(signals)
	cfg, err := platform.LoadSettings(path)
	if err != nil {
		return err
	}
	sink := jsonlog.NewSink(os.Stdout)
	defer func() { sink.Flush(time.Now().Add(logFlushTimeout)) }()
	debug.SetMemoryLimit(int64(memoryLimitShare * float64(cfg.MemoryBytes)))
	log := jsonlog.New(sink)
	answerMemory := answermemory.New(int64(answerMemoryShare * float64(cfg.MemoryBytes)))
	client := platform.NewBackendClient(answerMemory)
	if cfg.KeepsConnections() {
		client.KeepConnections(log.WithField("part", "connections"))
	}
	connections := connlimit.MaxConnections(cfg.MemoryBytes, cfg.MaxSockets)
	e := edge.New(edge.Config{
		Host: cfg.Host, Domain: cfg.Domain, CallerAddress: cfg.CallerAddress, ReadyAddress: cfg.ReadyAddress,
		AdminAddress: cfg.AdminAddress, PeerAddress: cfg.PeerAddress, DatagramAddress: cfg.DatagramAddress, Seeds: cfg.Seeds, LinkMbps: cfg.LinkMbps, Grace: cfg.Grace, ChangeTime: cfg.ChangeTime, ContactTime: cfg.ContactTime,
		RetryBudget:  retrybudget.Config{Ratio: retryBudgetShare * cfg.RetryRatio, Slack: retryBudgetShare * cfg.RetrySlack, Window: cfg.RetryWindow},
		Store:        kv.New(kv.Config{Address: cfg.StoreAddress, Timeout: storeTimeout}),
		AnswerMemory: answerMemory, RequestMemory: answermemory.New(int64(requestMemoryShare * float64(cfg.MemoryBytes))),
		CallerLimits: http1.Limits{
			Connections: connections, ReceiveBytes: connlimit.ReceiveBytes(connlimit.ReceiveMemory(cfg.MemoryBytes), connections),
			HeaderMemory: connlimit.NewMemory(int64(headerMemoryShare * float64(cfg.MemoryBytes))),
		},
		ConfigKey: platform.ConfigKey, ServersPrefix: platform.ServersPrefix,
		DecodeConfig: platform.DecodeConfig, DecodeServer: platform.DecodeServer,
		Protocol: platform.CallerProtocol{}, Client: client, Connections: client, ReadyPath: platform.ReadyPath,
		Log: log,
	})
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	go handleSignals(signals, e, path, sink, log)
	if err := e.Run(ctx); err != nil {
		return fmt.Errorf("edge: %w", err)
	}
	return nil
}

// handleSignals handles the signals that do not end the process: SIGHUP reloads and
// validates the settings, SIGUSR1 prints the state.
func handleSignals(signals <-chan os.Signal, e *edge.Edge, path string, out io.Writer, log *logrus.Logger) {
	for s := range signals {
		if s == syscall.SIGUSR1 {
			if err := json.NewEncoder(out).Encode(e.Dump()); err != nil {
				log.WithError(err).Error("state could not be printed")
			}
			continue
		}
		reloaded, err := platform.LoadSettings(path)
		if err != nil {
			log.WithError(err).Error("new settings are invalid; the old ones stay in effect")
			continue
		}
		e.AddSeeds(reloaded.Seeds)
		log.WithField("seeds", reloaded.Seeds).Info("settings reloaded; changed addresses apply after a restart")
	}
}
