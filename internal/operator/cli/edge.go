package cli

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"wisteriafield/internal/base/jsonlog"
	"wisteriafield/internal/decision/repeats"
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
	// repeatShare is how much of the shared bound on repeats this router uses.
	repeatShare = 0.6
	// repeatSlack is this router's part of the slack that all share.
	repeatSlack = 0.08
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
	e := edge.New(edge.Config{
		Host: s.Host, Domain: s.Domain, CallerAddress: s.CallerAddress, ReadyAddress: s.ReadyAddress,
		PeerAddress: s.PeerAddress, NoticeAddress: s.NoticeAddress, Seeds: s.Seeds, Grace: s.Grace,
		Repeats:   repeats.Config{Ratio: repeatShare * s.RetryRatio, Slack: repeatSlack * s.RetrySlack, Window: s.RetryWindow},
		Store:     kv.New(kv.Config{Address: s.StoreAddress, Timeout: storeTimeout}),
		ConfigKey: platform.ConfigKey, ServersPrefix: platform.ServersPrefix,
		DecodeConfig: platform.DecodeConfig, DecodeServer: platform.DecodeServer,
		Protocol: platform.Caller{}, Client: platform.NewBackend(), ReadyPath: platform.ReadyPath,
		Log: jsonlog.New(sink),
	})
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	signal.Ignore(syscall.SIGHUP)
	if err := e.Run(ctx); err != nil {
		return fmt.Errorf("edge: %w", err)
	}
	return nil
}
