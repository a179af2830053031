// Package configure keeps a router's configuration at the newest revision. It
// watches the manifest in the platform's store and, while the store is
// unreachable, fetches manifest and parts from other routers.
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
	"wisteriafield/internal/decision/storehistory"
	"wisteriafield/internal/platform/hosts"
	"wisteriafield/internal/router/members"
	"wisteriafield/internal/router/quarantine"
	"wisteriafield/platform/kv"
)

const (
	gossipInterval        = time.Second
	startupGossipInterval = 200 * time.Millisecond // until the first revision is in effect
	callTimeout           = 500 * time.Millisecond
	storeRetryDelay       = 500 * time.Millisecond
	announceDelay         = 300 * time.Millisecond
	announcePeers         = 3 // peers notified of a new revision before the next gossip
	methodHello           = "Configure.Hello"
	methodManifest        = "Configure.Manifest"
	methodPart            = "Configure.Part"
	maxWaitsSent          = 64 // expected waits in one hello
)

var acceptedTotal = metrics.NewCounter("wisteriafield_configurations_accepted_total")

// Store is the part of the platform's store that a follower needs.
type Store interface {
	Get(ctx context.Context, key string) (kv.Value, error)
	Watch(ctx context.Context, key string, after storehistory.Position) (kv.Value, error)
	Put(ctx context.Context, key string, body []byte, revision int64, lease string) (int64, error)
	Era() int64 // newest that an answer named
}

// Caller calls other routers.
type Caller interface {
	Call(ctx context.Context, address, method string, params, result any) error
}

// Deps holds the dependencies of a follower.
type Deps struct {
	Store           Store
	Peers           Caller
	Members         *members.Members
	Log             *logrus.Entry
	ExpectedWaits   func() map[string]time.Duration               // of this router's servers, sent to peers
	RecordPeerWaits func(name string, w map[string]time.Duration) // called with the waits that a peer sent
	Quarantine      *quarantine.Guard                             // its news is exchanged too; may be nil
	OnChange        func(*document.View)                          // called with each new configuration; may be nil
}

// Follower holds the configuration in effect.
type Follower struct {
	deps     Deps
	view     atomic.Pointer[document.View]
	mu       sync.Mutex // guards manifest and bodies; held while a revision is accepted
	manifest *manifest.Manifest
	bodies   map[string][]byte // parts of the manifest, by digest
	urgent   chan struct{}     // holds a value if peers should hear news at once
}

// New returns a follower without a configuration.
func New(deps Deps) *Follower {
	return &Follower{deps: deps, bodies: make(map[string][]byte), urgent: make(chan struct{}, 1)}
}

// View returns the configuration in effect, or nil.
func (f *Follower) View() *document.View { return f.view.Load() }

// ManifestKey returns the store key of an environment's manifest.
func ManifestKey(environment string) string { return "manifest/" + environment }

// PartKey returns the store key of a part.
func PartKey(digest string) string { return "part/" + digest }

// Watch follows the store until ctx ends.
func (f *Follower) Watch(ctx context.Context) error {
	var after storehistory.Position
	key := ManifestKey(f.deps.Members.Self().Environment)
	for ctx.Err() == nil {
		v, err := f.deps.Store.Watch(ctx, key, after)
		if errors.Is(err, kv.ErrNotFound) {
			continue
		}
		if err == nil {
			err = f.acceptEncoded(ctx, v.Body, f.partFromStore)
		}
		if err != nil {
			f.deps.Log.Debugf("following configuration in store failed: %v", err)
			loop.Sleep(ctx, storeRetryDelay)
			continue
		}
		after = v.Position()
	}
	return nil
}

// acceptEncoded decodes a manifest from the store and accepts it.
func (f *Follower) acceptEncoded(ctx context.Context, body []byte, fetchPart partSource) error {
	var m manifest.Manifest
	if err := json.Unmarshal(body, &m); err != nil {
		return fmt.Errorf("decode manifest: %w", err)
	}
	return f.accept(ctx, &m, fetchPart)
}

// partSource fetches the body of a part.
type partSource func(ctx context.Context, digest string) ([]byte, error)

// accept makes the document of a newer manifest the configuration in effect. It
// does so only when it has all parts and their digests match.
func (f *Follower) accept(ctx context.Context, m *manifest.Manifest, fetchPart partSource) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	var old storehistory.Position
	if f.manifest != nil {
		old = f.manifest.Position()
		invariant.Check(m.Position() != old || m.Digest == f.manifest.Digest,
			"revision %d of era %d has two digests: %s and %s", old.Revision, old.Era, f.manifest.Digest, m.Digest)
	}
	if !m.Supersedes(old) || m.Environment != f.deps.Members.Self().Environment {
		return nil
	}
	bodies := make(map[string][]byte, len(m.Parts))
	for _, p := range m.Parts {
		body, ok := f.bodies[p.Digest]
		if !ok {
			var err error
			if body, err = fetchPart(ctx, p.Digest); err != nil {
				return fmt.Errorf("part %s: %w", p.Name, err)
			}
		}
		bodies[p.Digest] = body
	}
	d, err := manifest.Join(m, bodies)
	if err != nil {
		return fmt.Errorf("join: %w", err)
	}
	if err := d.Validate(); err != nil {
		return fmt.Errorf("document %s: %w", m.Digest, err)
	}
	f.manifest, f.bodies = m, bodies
	view := document.NewView(d, m.Position(), m.Digest)
	f.view.Store(view)
	acceptedTotal.Inc()
	f.deps.Log.WithFields(logrus.Fields{"era": m.Era, "revision": m.Revision, "digest": m.Digest[:12]}).Info("configuration in effect")
	if f.deps.OnChange != nil {
		f.deps.OnChange(view)
	}
	go f.announce()
	return nil
}

func (f *Follower) partFromStore(ctx context.Context, digest string) ([]byte, error) {
	v, err := f.deps.Store.Get(ctx, PartKey(digest))
	if err != nil {
		return nil, fmt.Errorf("get: %w", err)
	}
	return v.Body, nil
}

// announce exchanges revisions with some peers, so that a new revision reaches all
// routers within a few round trips even without the store. It first gives the
// peers time to read the revision from the store, so that normally no part is
// transferred twice.
func (f *Follower) announce() {
	loop.Sleep(context.Background(), announceDelay)
	for _, h := range f.randomPeers(announcePeers) {
		f.exchangeRevisions(context.Background(), h)
	}
}

// Trigger makes Gossip tell some peers the news at once.
func (f *Follower) Trigger() {
	select {
	case f.urgent <- struct{}{}:
	default:
	}
}

// Gossip exchanges revisions and news with a random peer at every interval until ctx ends.
func (f *Follower) Gossip(ctx context.Context) error {
	for ctx.Err() == nil {
		interval := gossipInterval
		if f.View() == nil {
			interval = startupGossipInterval
		}
		peers := 1
		timer := time.NewTimer(interval)
		select {
		case <-timer.C:
		case <-f.urgent:
			peers = announcePeers
		case <-ctx.Done():
		}
		timer.Stop()
		for _, h := range f.randomPeers(peers) {
			f.exchangeRevisions(ctx, h)
		}
	}
	return nil
}

// randomPeers returns at most n other live routers in random order.
func (f *Follower) randomPeers(n int) []hosts.Host {
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
