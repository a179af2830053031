// Package configure keeps a router's configuration at the newest revision. It
// follows the manifest in the platform's store and, when the store is out of
// reach, gets manifest and parts from other routers.
package configure

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"wisteriafield/internal/base/loop"
	"wisteriafield/internal/config/document"
	"wisteriafield/internal/config/manifest"
	"wisteriafield/internal/decision/invariant"
	"wisteriafield/internal/platform/hosts"
	"wisteriafield/internal/router/members"
	"wisteriafield/platform/kv"
)

const (
	gossipEvery  = time.Second
	startEvery   = 200 * time.Millisecond // the same before the first revision
	callTimeout  = 500 * time.Millisecond
	retryStore   = 500 * time.Millisecond
	tellAfter    = 300 * time.Millisecond
	tellPeers    = 3 // peers that hear of a new revision before the next gossip
	methodHello  = "Configure.Hello"
	methodFetch  = "Configure.Manifest"
	methodPart   = "Configure.Part"
	maxWaitsSent = 64
)

var acceptedTotal = metrics.NewCounter("wisteriafield_configurations_accepted_total")

// Store is the part of the platform's store that a follower needs.
type Store interface {
	Get(ctx context.Context, key string) (kv.Value, error)
	Watch(ctx context.Context, key string, after int64) (kv.Value, error)
}

// Caller calls other routers.
type Caller interface {
	Call(ctx context.Context, address, method string, params, result any) error
}

// Deps is what a follower needs.
type Deps struct {
	Store           Store
	Peers           Caller
	Members         *members.Members
	Log             *logrus.Entry
	ExpectedWaits   func() map[string]time.Duration               // this router's, for gossip
	RecordPeerWaits func(name string, w map[string]time.Duration) // a peer's
	OnChange        func(*document.View)
}

// Follower holds the configuration in force.
type Follower struct {
	deps     Deps
	view     atomic.Pointer[document.View]
	mu       sync.Mutex // held while a revision is taken in
	manifest *manifest.Manifest
	bodies   map[string][]byte
}

// New returns a follower without a configuration.
func New(deps Deps) *Follower {
	return &Follower{deps: deps, bodies: make(map[string][]byte)}
}

// View returns the configuration in force, or nil.
func (f *Follower) View() *document.View { return f.view.Load() }

// ManifestKey is where an environment's manifest is stored.
func ManifestKey(environment string) string { return "manifest/" + environment }

// PartKey is where a part is stored.
func PartKey(digest string) string { return "part/" + digest }

// Watch follows the store until ctx ends.
func (f *Follower) Watch(ctx context.Context) error {
	var after int64
	key := ManifestKey(f.deps.Members.Self().Environment)
	for ctx.Err() == nil {
		v, err := f.deps.Store.Watch(ctx, key, after)
		if errors.Is(err, kv.ErrNotFound) {
			continue
		}
		if err == nil {
			err = f.take(ctx, v.Body, f.partFromStore)
		}
		if err != nil {
			f.deps.Log.Debugf("store: %v", err)
			loop.Pause(ctx, retryStore)
			continue
		}
		after = v.Revision
	}
	return nil
}

func (f *Follower) take(ctx context.Context, body []byte, part partSource) error {
	var m manifest.Manifest
	if err := json.Unmarshal(body, &m); err != nil {
		return fmt.Errorf("decode manifest: %w", err)
	}
	return f.accept(ctx, &m, part)
}

type partSource func(ctx context.Context, digest string) ([]byte, error)

// accept takes a manifest in if it is newer: whole, with every digest checked.
func (f *Follower) accept(ctx context.Context, m *manifest.Manifest, part partSource) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	var old int64
	if f.manifest != nil {
		old = f.manifest.Revision
		invariant.Check(m.Revision != old || m.Digest == f.manifest.Digest,
			"revision %d has digests %s and %s", old, f.manifest.Digest, m.Digest)
	}
	if !m.Supersedes(old) || m.Environment != f.deps.Members.Self().Environment {
		return nil
	}
	bodies := make(map[string][]byte, len(m.Parts))
	for _, p := range m.Parts {
		body, ok := f.bodies[p.Digest]
		if !ok {
			var err error
			if body, err = part(ctx, p.Digest); err != nil {
				return fmt.Errorf("part %s: %w", p.Name, err)
			}
		}
		bodies[p.Digest] = body
	}
	d, err := manifest.Join(m, bodies)
	if err != nil {
		return fmt.Errorf("join: %w", err)
	}
	if err := d.Check(); err != nil {
		return fmt.Errorf("document %s: %w", m.Digest, err)
	}
	f.manifest, f.bodies = m, bodies
	view := document.NewView(d, m.Revision, m.Digest)
	f.view.Store(view)
	acceptedTotal.Inc()
	f.deps.Log.WithFields(logrus.Fields{"revision": m.Revision, "digest": m.Digest[:12]}).Info("configuration in force")
	if f.deps.OnChange != nil {
		f.deps.OnChange(view)
	}
	go f.tell()
	return nil
}

func (f *Follower) partFromStore(ctx context.Context, digest string) ([]byte, error) {
	v, err := f.deps.Store.Get(ctx, PartKey(digest))
	if err != nil {
		return nil, fmt.Errorf("get: %w", err)
	}
	return v.Body, nil
}

// tell greets some peers, so that a new revision spreads without the store
// within a few round trips. It first gives them time to get it from the store,
// so that in the ordinary case nothing moves twice.
func (f *Follower) tell() {
	loop.Pause(context.Background(), tellAfter)
	for _, h := range f.peers(tellPeers) {
		f.greet(context.Background(), h)
	}
}

// Gossip greets a random peer every second until ctx ends.
func (f *Follower) Gossip(ctx context.Context) error {
	for ctx.Err() == nil {
		every := gossipEvery
		if f.View() == nil {
			every = startEvery
		}
		loop.Pause(ctx, every)
		for _, h := range f.peers(1) {
			f.greet(ctx, h)
		}
	}
	return nil
}

func (f *Follower) peers(n int) []hosts.Host {
	self := f.deps.Members.Self().Name
	var others []hosts.Host
	for _, h := range f.deps.Members.Live(time.Now()) {
		if h.Name != self {
			others = append(others, h)
		}
	}
	rand.Shuffle(len(others), func(i, j int) { others[i], others[j] = others[j], others[i] })
	return others[:min(n, len(others))]
}
