package configure

import (
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"wisteriafield/internal/base/loop"
	"wisteriafield/internal/config/manifest"
	"wisteriafield/internal/decision/placement"
	"wisteriafield/internal/decision/storehistory"
	"wisteriafield/platform/kv"
)

const rewriteCheckInterval = 100 * time.Millisecond

// RewriteLost writes the configuration in effect to the store again whenever the store was
// restored without it, until ctx ends. The routers do so one after the other.
func (f *Follower) RewriteLost(ctx context.Context) error {
	var checked, seen int64
	var seenAt time.Time
	loop.Every(ctx, rewriteCheckInterval, func(now time.Time) {
		era := f.deps.Store.Era()
		if era != seen {
			seen, seenAt = era, now
		}
		if era == checked || now.Before(storehistory.Turn(seenAt, f.rank(now))) {
			return
		}
		if err := f.rewriteIfLost(ctx); err != nil {
			f.deps.Log.WithField("era", era).Infof("configuration in effect is not written to the restored store: %v", err)
			seenAt = now // waits for its turn again
			return
		}
		checked = era
	})
	return nil
}

// rank returns the place of this router among the live ones.
func (f *Follower) rank(now time.Time) int {
	return slices.Index(placement.Rendezvous("manifest", f.deps.Members.Names(now)), f.deps.Members.Self().Name)
}

// rewriteIfLost writes the manifest in effect and its parts unless the store has that
// manifest or a later one.
func (f *Follower) rewriteIfLost(ctx context.Context) error {
	f.mu.Lock()
	held, bodies := f.manifest, f.bodies
	f.mu.Unlock()
	if held == nil {
		return nil
	}
	key := ManifestKey(held.Environment)
	v, err := f.deps.Store.Get(ctx, key)
	if err != nil && !errors.Is(err, kv.ErrNotFound) {
		return fmt.Errorf("read manifest: %w", err)
	}
	var stored manifest.Manifest
	if err == nil {
		if err := json.Unmarshal(v.Body, &stored); err != nil {
			return fmt.Errorf("decode manifest: %w", err)
		}
	}
	if !held.Supersedes(stored.Position()) {
		return nil
	}
	for _, p := range held.Parts {
		if slices.Contains(stored.Parts, p) {
			continue
		}
		if _, err := f.deps.Store.Put(ctx, PartKey(p.Digest), bodies[p.Digest], 0, ""); err != nil && !errors.Is(err, kv.ErrConflict) {
			return fmt.Errorf("write part %s: %w", p.Name, err)
		}
	}
	body, err := json.Marshal(held)
	if err != nil {
		return fmt.Errorf("encode manifest: %w", err)
	}
	if _, err := f.deps.Store.Put(ctx, key, body, v.Revision, ""); err != nil {
		return fmt.Errorf("write manifest: %w", err)
	}
	f.deps.Log.WithFields(logrus.Fields{"era": held.Era, "revision": held.Revision, "stored": stored.Revision}).Info("configuration that the store lost is written again")
	return nil
}
