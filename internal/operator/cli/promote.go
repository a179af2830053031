package cli

import (
	"context"
	"fmt"

	"wisteriafield/internal/config/settings"
	"wisteriafield/internal/platform/publish"
)

type promoteCommand struct {
	change
	Digest string `long:"digest" description:"promote only if trial has this digest"`
}

// Execute writes what is in force in trial to production.
func (c *promoteCommand) Execute([]string) error {
	cfg, err := settings.LoadOperator(c.Settings)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(context.Background(), commandTimeout)
	defer cancel()
	store := newStore(cfg)
	tried, _, err := publish.ReadManifest(ctx, store, trial)
	if err != nil {
		return err
	}
	if tried.Revision == 0 || c.Digest != "" && c.Digest != tried.Digest {
		return fmt.Errorf("trial has digest %q at revision %d, not %q", tried.Digest, tried.Revision, c.Digest)
	}
	routers := collect(ctx, cfg, trial)
	if left := unconfirmed(routers, tried.Revision); len(routers) == 0 || len(left) > 0 {
		return fmt.Errorf("trial revision %d is not in force on all trial routers %v: %w", tried.Revision, left, errUnconfirmed)
	}
	base, at, err := publish.ReadManifest(ctx, store, production)
	if err != nil {
		return err
	}
	if err := c.expected(base); err != nil {
		return err
	}
	m, err := publish.CommitManifest(ctx, store, base, at, tried.Parts, origin())
	if err != nil {
		return err
	}
	return c.finish(ctx, cfg, m)
}
