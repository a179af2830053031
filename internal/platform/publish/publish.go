// Package publish writes documents to the platform's store: first the parts, then
// the manifest with compare-and-swap.
package publish

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"github.com/google/uuid"
	"github.com/pkg/errors"

	"wisteriafield/internal/base/loop"
	"wisteriafield/internal/config/document"
	"wisteriafield/internal/config/manifest"
	"wisteriafield/internal/decision/claim"
	"wisteriafield/internal/router/configure"
	"wisteriafield/platform/kv"
)

const (
	maxTries   = 5
	retryDelay = 300 * time.Millisecond
)

// ErrOutcomeUnknown means that the store did not confirm whether the manifest was
// written.
var ErrOutcomeUnknown = errors.New("the store did not confirm whether the change took effect")

// ErrRestored means that the store was restored during a change, which may be lost.
var ErrRestored = errors.New("the store was restored from an older copy during the change; look at the status and make the change again")

// RaceError reports that another operator's change was committed first.
type RaceError struct {
	Winner manifest.Manifest // the manifest that is in the store now
}

// Error names the revision in the store and its origin.
func (e *RaceError) Error() string {
	return fmt.Sprintf("another change came first: revision %d by %s", e.Winner.Revision, e.Winner.Origin)
}

// Store is the subset of the platform's store that publishing needs.
type Store interface {
	Get(ctx context.Context, key string) (kv.Value, error)
	Put(ctx context.Context, key string, body []byte, revision int64, lease string) (int64, error)
	Era() int64 // newest that an answer named
}

// ReadManifest returns the manifest of an environment and the store's revision of
// its key. Both revisions are 0 if there is no manifest yet.
func ReadManifest(ctx context.Context, s Store, environment string) (manifest.Manifest, int64, error) {
	v, err := s.Get(ctx, configure.ManifestKey(environment))
	if errors.Is(err, kv.ErrNotFound) {
		return manifest.Manifest{Environment: environment}, 0, nil
	}
	if err != nil {
		return manifest.Manifest{}, 0, fmt.Errorf("read manifest: %w", err)
	}
	var m manifest.Manifest
	if err := json.Unmarshal(v.Body, &m); err != nil {
		return m, 0, fmt.Errorf("decode manifest: %w", err)
	}
	return m, v.Revision, nil
}

// CommitDocument writes a document as the next revision of an environment. It fails
// with a RaceError if another change was committed since base was read at
// storeRevision.
func CommitDocument(ctx context.Context, s Store, base manifest.Manifest, storeRevision int64, d *document.Document, origin string) (manifest.Manifest, error) {
	era := s.Era()
	parts, bodies, err := manifest.Split(d)
	if err != nil {
		return manifest.Manifest{}, fmt.Errorf("split document: %w", err)
	}
	if storeRevision == 0 {
		if err := markFirstEra(ctx, s); err != nil {
			return manifest.Manifest{}, err
		}
	}
	stored := make(map[string]bool)
	for _, p := range base.Parts {
		stored[p.Digest] = true
	}
	for _, p := range parts {
		if stored[p.Digest] {
			continue
		}
		if err := writePart(ctx, s, p, bodies[p.Digest]); err != nil {
			return manifest.Manifest{}, err
		}
	}
	next, err := CommitManifest(ctx, s, base, storeRevision, parts, origin)
	if s.Era() != era {
		return next, ErrRestored // parts may be lost
	}
	return next, err
}

// markFirstEra records that no claim is older than the store's era: no call is served
// before the first document. A mark that exists stays.
func markFirstEra(ctx context.Context, s Store) error {
	body, err := json.Marshal(claim.RestoreMark{Era: s.Era()})
	if err != nil {
		return fmt.Errorf("encode era mark: %w", err)
	}
	if err := create(ctx, s, claim.RestoreKey, body); err != nil {
		return fmt.Errorf("write era mark: %w", err)
	}
	return nil
}

// writePart stores a part under its digest. A part that exists under that digest is
// identical.
func writePart(ctx context.Context, s Store, part manifest.Part, body []byte) error {
	if err := create(ctx, s, configure.PartKey(part.Digest), body); err != nil {
		return fmt.Errorf("write part %s: %w", part.Name, err)
	}
	return nil
}

// create writes a key unless it exists.
func create(ctx context.Context, s Store, key string, body []byte) error {
	var err error
	for range maxTries {
		_, err = s.Put(ctx, key, body, 0, "")
		if err == nil || errors.Is(err, kv.ErrConflict) {
			return nil
		}
		loop.Sleep(ctx, retryDelay)
	}
	return err
}

// CommitManifest writes a manifest of stored parts as the next revision of the
// environment of base.
func CommitManifest(ctx context.Context, s Store, base manifest.Manifest, storeRevision int64, parts []manifest.Part, origin string) (manifest.Manifest, error) {
	era := s.Era()
	next := base.Next(parts, origin, uuid.NewString(), era)
	body, err := json.Marshal(next)
	if err != nil {
		return next, fmt.Errorf("encode manifest: %w", err)
	}
	_, err = s.Put(ctx, configure.ManifestKey(next.Environment), body, storeRevision, "")
	if err != nil {
		err = resolveCommit(ctx, s, next, storeRevision, body)
	}
	if s.Era() != era {
		return next, ErrRestored
	}
	return next, err
}

// resolveCommit determines the outcome of a write that was refused or whose answer
// was lost. While the store still has the old revision, the write is retried;
// compare-and-swap lets it take effect only once.
func resolveCommit(ctx context.Context, s Store, next manifest.Manifest, storeRevision int64, body []byte) error {
	for range maxTries {
		found, revision, err := ReadManifest(ctx, s, next.Environment)
		switch {
		case err != nil:
			loop.Sleep(ctx, retryDelay)
		case found.IncludesAttempt(next.Attempt):
			return nil
		case revision != storeRevision:
			return &RaceError{Winner: found}
		default:
			if _, err := s.Put(ctx, configure.ManifestKey(next.Environment), body, storeRevision, ""); err == nil {
				return nil
			}
		}
	}
	return ErrOutcomeUnknown
}
