package cli

import (
	"context"
	"fmt"

	"wisteriafield/internal/config/settings"
	"wisteriafield/internal/platform/publish"
)

type promoteCommand struct {
	changeCommand
	Digest string `long:"digest" description:"promote only if trial has this digest"`
}

// Execute writes the document that is in effect in trial to production.
func (c *promoteCommand) Execute([]string) error {
	cfg, err := settings.LoadOperator(c.Settings)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(context.Background(), commandTimeout)
	defer cancel()
	store := newStore(cfg)
	trialManifest, _, err := publish.ReadManifest(ctx, store, trialEnvironment)
	if err != nil {
		return err
	}
	if trialManifest.Revision == 0 || c.Digest != "" && c.Digest != trialManifest.Digest {
		return fmt.Errorf("trial has digest %q at revision %d, not %q", trialManifest.Digest, trialManifest.Revision, c.Digest)
	}
	routers := collectStatuses(ctx, cfg, trialEnvironment)
	if pending := unconfirmedRouters(routers, trialManifest.Revision); len(routers) == 0 || len(pending) > 0 {
		return fmt.Errorf("trial revision %d is not in force on all trial routers %v: %w", trialManifest.Revision, pending, errUnconfirmed)
	}
	base, storeRevision, err := publish.ReadManifest(ctx, store, productionEnvironment)
	if err != nil {
		return err
	}
	if err := c.checkExpected(base); err != nil {
		return err
	}
	m, err := publish.CommitManifest(ctx, store, base, storeRevision, trialManifest.Parts, origin())
	if err != nil {
		return err
	}
	return c.reportAndWait(ctx, cfg, m)
}
