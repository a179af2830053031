package cli

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"wisteriafield/internal/config/settings"
	"wisteriafield/internal/platform/hosts"
)

type dumpCommand struct {
	output
	Settings string `long:"settings" required:"true" description:"operator settings"`
	Args     struct {
		Host string `positional-arg-name:"HOST" required:"1"`
	} `positional-args:"true"`
}

// Execute prints the complete state of a router as JSON.
func (c *dumpCommand) Execute([]string) error {
	cfg, err := settings.LoadOperator(c.Settings)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(context.Background(), commandTimeout)
	defer cancel()
	list := hosts.New(hosts.Config{Address: cfg.Platform.Address, Credential: cfg.Platform.Credential})
	if err := list.Fetch(ctx, time.Millisecond); err != nil {
		return fmt.Errorf("host list: %w", err)
	}
	h, ok := list.Host(c.Args.Host)
	if !ok || h.Kind != hosts.Router {
		return fmt.Errorf("no router %q in the host list", c.Args.Host)
	}
	var state json.RawMessage
	if err := getAdminPage(ctx, cfg, h, "/dump", &state); err != nil {
		return fmt.Errorf("dump %s: %w", h.Name, err)
	}
	_, err = fmt.Fprintln(c.out, string(state))
	return err
}
