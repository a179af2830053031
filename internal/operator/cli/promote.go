package cli

import (
	"context"
	"fmt"

	"wisteriafield/internal/config/manifest"
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
	trialManifest, base, storeRevision, err := readManifests(ctx, store, func(stored *manifest.Manifest) error {
		return checkPromotable(stored, c.Digest, collectStatuses(ctx, cfg, trialEnvironment))
	})
	if err != nil {
		return err
	}
	if err := c.checkExpected(base, func() []routerStatus { return collectStatuses(ctx, cfg, productionEnvironment) }); err != nil {
		return err
	}
	m, err := publish.CommitManifest(ctx, store, base, storeRevision, trialManifest.Parts, origin())
	if err != nil {
		return err
	}
	return c.reportAndWait(ctx, cfg, m)
}

// readManifests returns the manifest of trial, if it passes the check, that of production, and
// the store's revision of the latter's key. All are of one era of the store.
func readManifests(ctx context.Context, store publish.Store, check func(stored *manifest.Manifest) error) (trial, base manifest.Manifest, storeRevision int64, err error) {
	trial, _, err = publish.ReadManifest(ctx, store, trialEnvironment)
	if err != nil {
		return trial, base, 0, err
	}
	era := store.Era()
	if err := check(&trial); err != nil {
		return trial, base, 0, err
	}
	base, storeRevision, err = publish.ReadManifest(ctx, store, productionEnvironment)
	if err == nil && store.Era() != era {
		err = publish.ErrRestored
	}
	return trial, base, storeRevision, err
}

// checkPromotable returns an error unless all routers of trial run the manifest that is
// stored for trial. If one runs a later one, the store was restored and has not got it back.
func checkPromotable(stored *manifest.Manifest, digest string, routers []routerStatus) error {
	if stored.Revision == 0 || digest != "" && digest != stored.Digest {
		return fmt.Errorf("trial has digest %q at revision %d, not %q", stored.Digest, stored.Revision, digest)
	}
	if pending := unconfirmedRouters(routers, stored.Position()); len(routers) == 0 || len(pending) > 0 {
		return fmt.Errorf("trial revision %d is not in force on all trial routers %v: %w", stored.Revision, pending, errUnconfirmed)
	}
	if ahead := routersAhead(routers, stored.Position()); len(ahead) > 0 {
		return fmt.Errorf("trial routers %v run a later revision than %d: %w", ahead, stored.Revision, errStoreBehind)
	}
	return nil
}
