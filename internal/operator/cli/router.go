package cli

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/sirupsen/logrus"

	"wisteriafield/internal/config/settings"
	"wisteriafield/internal/decision/invariant"
	"wisteriafield/internal/router/node"
)

type routerCommand struct {
	Settings string `long:"settings" required:"true" description:"settings of this host"`
}

// Execute runs a router until SIGTERM or SIGINT.
func (c *routerCommand) Execute([]string) error {
	// A signal that arrives during the start must not end the process.
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGUSR1)
	defer signal.Stop(signals)
	cfg, err := settings.Load(c.Settings)
	if err != nil {
		return err
	}
	log := newLog(cfg.Log)
	invariant.OnViolation(func(message string) { log.WithField("part", "invariant").Error(message) })
	n := node.New(cfg, log)
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	go dumpOnSignal(signals, n)
	if err := n.Run(ctx); err != nil {
		return fmt.Errorf("router: %w", err)
	}
	return nil
}

// dumpOnSignal prints the router's state to standard error at each SIGUSR1.
func dumpOnSignal(signals <-chan os.Signal, n *node.Node) {
	for range signals {
		out := json.NewEncoder(os.Stderr)
		out.SetIndent("", "  ")
		_ = out.Encode(n.Dump())
	}
}

func newLog(cfg settings.Log) *logrus.Logger {
	log := logrus.New()
	if level, err := logrus.ParseLevel(cfg.Level); err == nil {
		log.SetLevel(level)
	}
	if cfg.Format == "json" {
		log.SetFormatter(&logrus.JSONFormatter{})
		return log
	}
	log.SetFormatter(&prefixFormatter{})
	return log
}
