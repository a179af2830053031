package relay

import (
	"context"
	"maps"
	"sync"
	"time"

	"github.com/pkg/errors"

	"wisteriafield/internal/backend/registry"
	"wisteriafield/internal/backend/server"
	"wisteriafield/internal/base/loop"
)

const (
	// backupCheckInterval is how often a stream checks that its backup engine is still
	// there. Failure domains are lost some seconds apart.
	backupCheckInterval = 250 * time.Millisecond
	// copyTimeout bounds the copying of one KV cache: about 0.8 GB, queued behind others.
	copyTimeout = 1500 * time.Millisecond
	// maxCopyFailures bounds the failed copies of one attempt.
	maxCopyFailures = 3
)

// replacementBackup is a backup that was made because the first backup engine was lost
// while the attempt ran. It protects against failure domains that are lost one after
// another: the first has the backup, the next one the attempt.
type replacementBackup struct {
	mu        sync.Mutex
	engine    *registry.Entry
	ref       *server.KVBackup // has the address of the engine that made the copy, which gave it its ID
	since     time.Time        // when the copy began
	expiresAt time.Time        // when the engine may delete the backup
}

// get returns the backup, its engine, when it began and when the engine may delete it, or nil if
// there is none or it has expired.
func (b *replacementBackup) get(now time.Time) (engine *registry.Entry, ref *server.KVBackup, since, expiresAt time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.ref == nil || now.After(b.expiresAt) {
		return nil, nil, time.Time{}, time.Time{}
	}
	return b.engine, b.ref, b.since, b.expiresAt
}

// set records a backup and its engine.
func (b *replacementBackup) set(engine *registry.Entry, ref *server.KVBackup, since, expiresAt time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.engine, b.ref, b.since, b.expiresAt = engine, ref, since, expiresAt
}

// maintainReplacement has the attempt's KV cache copied to another engine if the backup
// engine is lost, and again before that copy expires, until ctx ends.
func (s *stream) maintainReplacement(ctx context.Context, target, backup *registry.Entry, excluded map[server.Key]bool, replacement *replacementBackup) {
	lifetime := s.service.Engine.BackupTTL
	excluded[target.Key()] = true
	var engine *registry.Entry
	var nextCopyAt time.Time
	for failures := 0; failures < maxCopyFailures && loop.Sleep(ctx, backupCheckInterval); {
		if engine == nil {
			if !s.relay.lostOrRestarted(backup) {
				continue
			}
			excluded[backup.Key()] = true
			c := s.relay.choose(ctx, s.service, s.req, excluded, target.Domain, backup.Domain)
			engine = c.entry
			if engine == nil {
				continue
			}
			excluded[engine.Key()] = true
			defer s.reserveBackup(engine, c.offer)()
		}
		if s.relay.lostOrRestarted(engine) {
			backup, engine, nextCopyAt = engine, nil, time.Time{}
			continue
		}
		if time.Now().Before(nextCopyAt) {
			continue
		}
		startedAt := time.Now()
		backupID, err := s.relay.copyKVCache(ctx, target, s.req.ID, engine)
		if errors.Is(err, context.Canceled) {
			break
		}
		log := s.relay.cfg.Log.WithField("id", s.req.ID).WithField("server", target.ID).WithField("lost", backup.ID).
			WithField("holder", engine.ID).WithField("ms", time.Since(startedAt).Milliseconds())
		if err != nil {
			log.WithError(err).Info("replacement backup not created")
			failures++
			engine = nil
			continue
		}
		log.Info("replacement backup created")
		replacementBackupsTotal.Inc()
		replacement.set(engine, &server.KVBackup{Address: target.Address, ID: backupID}, startedAt, time.Now().Add(lifetime))
		nextCopyAt = time.Now().Add(lifetime / 2)
	}
}

// lostOrRestarted reports whether an engine was lost or is another incarnation now.
func (r *Relay) lostOrRestarted(e *registry.Entry) bool {
	current := r.cfg.Servers.ByAddress(e.Address)
	return current == nil || current.Key() != e.Key() || current.Load.State(time.Now()).Down
}

// copyKVCache has one engine copy the KV cache of an attempt to another, and returns the
// ID of the backup.
func (r *Relay) copyKVCache(ctx context.Context, from *registry.Entry, attemptID string, to *registry.Entry) (string, error) {
	ctx, cancel := context.WithTimeout(ctx, copyTimeout)
	defer cancel()
	return r.cfg.Client.CopyKVCache(ctx, from.Address, attemptID, to.Address)
}

// monitorBackup starts to check the backup of an attempt that has begun to answer. The
// result holds the replacement backup, if one is made.
func (s *stream) monitorBackup(ctx context.Context, target, backup *registry.Entry) *replacementBackup {
	replacement := &replacementBackup{}
	if backup != nil && s.service.Engine != nil && s.service.Engine.CopiesKVCache {
		go s.maintainReplacement(ctx, target, backup, maps.Clone(s.excluded), replacement)
	}
	return replacement
}

// deleteReplacement deletes a replacement backup that is no longer needed. If that
// fails, the backup expires.
func (r *Relay) deleteReplacement(replacement *replacementBackup) {
	_, ref, _, _ := replacement.get(time.Now())
	if ref == nil {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), copyTimeout)
	defer cancel()
	if err := r.cfg.Client.DeleteBackup(ctx, *ref); err != nil {
		r.cfg.Log.WithField("address", ref.Address).WithError(err).Info("replacement backup not deleted")
	}
}
