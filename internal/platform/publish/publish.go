// Package publish writes documents into the platform's store: the parts first,
// then the manifest with compare-and-swap.
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
	"wisteriafield/internal/router/configure"
	"wisteriafield/platform/kv"
)

const (
	settleTries = 5
	settlePause = 300 * time.Millisecond
)

// ErrOutcomeUnknown means that it could not be learnt whether the write took effect.
var ErrOutcomeUnknown = errors.New("the store did not say whether the change took effect")

// RaceError tells who won against this operator.
type RaceError struct {
	Winner manifest.Manifest
}

// Error names the revision that is in the store now.
func (e *RaceError) Error() string {
	return fmt.Sprintf("another change came first: revision %d by %s", e.Winner.Revision, e.Winner.Origin)
}

// Store is the part of the platform's store that publishing needs.
type Store interface {
	Get(ctx context.Context, key string) (kv.Value, error)
	Put(ctx context.Context, key string, body []byte, revision int64, lease string) (int64, error)
}

// ReadManifest returns an environment's manifest with the store's revision of it. A
// missing manifest has revision 0.
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

// CommitDocument writes a document as the next revision of an environment, unless
// another change came since base was read.
func CommitDocument(ctx context.Context, s Store, base manifest.Manifest, at int64, d *document.Document, origin string) (manifest.Manifest, error) {
	parts, bodies, err := manifest.Split(d)
	if err != nil {
		return manifest.Manifest{}, fmt.Errorf("split document: %w", err)
	}
	known := make(map[string]bool)
	for _, p := range base.Parts {
		known[p.Digest] = true
	}
	for _, p := range parts {
		if known[p.Digest] {
			continue
		}
		if err := writePart(ctx, s, p, bodies[p.Digest]); err != nil {
			return manifest.Manifest{}, err
		}
	}
	return CommitManifest(ctx, s, base, at, parts, origin)
}

// writePart stores a part under its digest. One that is there already is the
// same one.
func writePart(ctx context.Context, s Store, p manifest.Part, body []byte) error {
	var err error
	for range settleTries {
		_, err = s.Put(ctx, configure.PartKey(p.Digest), body, 0, "")
		if err == nil || errors.Is(err, kv.ErrConflict) {
			return nil
		}
		loop.Pause(ctx, settlePause)
	}
	return fmt.Errorf("write part %s: %w", p.Name, err)
}

// CommitManifest commits parts that are stored as the next revision.
func CommitManifest(ctx context.Context, s Store, base manifest.Manifest, at int64, parts []manifest.Part, origin string) (manifest.Manifest, error) {
	next := base.Next(parts, origin, uuid.NewString())
	body, err := json.Marshal(next)
	if err != nil {
		return next, fmt.Errorf("encode manifest: %w", err)
	}
	_, err = s.Put(ctx, configure.ManifestKey(next.Environment), body, at, "")
	if err == nil {
		return next, nil
	}
	return settle(ctx, s, next, at, body)
}

// settle finds out what became of a write that was refused or whose answer was
// lost. While the store still has the old revision the write is tried again;
// compare-and-swap lets it through once.
func settle(ctx context.Context, s Store, next manifest.Manifest, at int64, body []byte) (manifest.Manifest, error) {
	for range settleTries {
		found, revision, err := ReadManifest(ctx, s, next.Environment)
		switch {
		case err != nil:
			loop.Pause(ctx, settlePause)
		case found.Follows(next.Attempt):
			return next, nil
		case revision != at:
			return next, &RaceError{Winner: found}
		default:
			if _, err := s.Put(ctx, configure.ManifestKey(next.Environment), body, at, ""); err == nil {
				return next, nil
			}
		}
	}
	return next, ErrOutcomeUnknown
}
