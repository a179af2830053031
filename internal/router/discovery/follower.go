// Package discovery follows the configuration and the server list in the
// platform's store.
package discovery

import (
	"context"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"wisteriafield/internal/backend/server"
	"wisteriafield/internal/base/loop"
	"wisteriafield/platform/kv"
)

const (
	// watchWait is how long a watch waits for changes. A watch may miss changes
	// around a compaction until it is armed again, and a change has to be in
	// force within two seconds.
	watchWait = time.Second
	// rolePeriod is how often a router that does not read looks whether it should.
	rolePeriod = 200 * time.Millisecond
	// logged changes are kept for peers that are a little behind.
	logged = 512
	// gather is the pause before a watch is armed again, so that one call brings
	// several changes. It is a small part of the seconds that a change may take.
	gather = 150 * time.Millisecond
	// retryPause is between calls that failed.
	retryPause = 250 * time.Millisecond
	// maxRetryPause bounds the pause, which doubles. Lapsed servers have to be
	// known again within two seconds of the store's return.
	maxRetryPause = time.Second
	// returnGrace is how long entries that vanished during an outage are kept
	// after it; servers that live are back within two seconds.
	returnGrace = 2200 * time.Millisecond
)

// Store reads the platform's store.
type Store interface {
	Range(ctx context.Context, prefix string, stale bool) ([]kv.Value, int64, error)
	WatchPrefix(ctx context.Context, prefix string, after int64, wait time.Duration) ([]kv.Value, int64, error)
}

// Config is what a follower needs.
type Config struct {
	Store         Store
	ConfigKey     string
	ServersPrefix string
	DecodeServer  func(key string, value []byte) (server.Server, error)
	SetConfig     func(value []byte, source string)
	SetServers    func(revision int64, servers []server.Server)
	HostsPrefix   string // of the routers' own entries
	AddHost       func(value []byte)
	OnChange      func()               // the list or the configuration changed
	HasConfig     func() bool          // a configuration is in force
	ShouldRead    func(lost bool) bool // it is this router's turn to read
	Log           *logrus.Entry
}

// Follower keeps the configuration and the servers up to date.
type Follower struct {
	cfg Config

	mu       sync.Mutex
	revision int64               // of the store, up to which entries are known
	raw      map[string]kv.Value // as the store holds them, by key
	log      []kv.Value          // the newest changes
	logFrom  int64               // the log has all changes after this revision
	entries  map[string]server.Server
	vanished map[string]time.Time // entries kept until a time
	lostAt   time.Time            // when the store was lost; zero while it answers
	seenAt   atomic.Int64         // Unix nanoseconds of the store's last answer
	reading  atomic.Bool
	back     time.Time // when it answered again
}

// New returns a follower.
func New(cfg Config) *Follower {
	return &Follower{cfg: cfg, raw: make(map[string]kv.Value), entries: make(map[string]server.Server), vanished: make(map[string]time.Time)}
}

// StoreReached returns when the store answered last,
// or zero if it never did.
func (f *Follower) StoreReached() time.Time {
	if at := f.seenAt.Load(); at != 0 {
		return time.Unix(0, at)
	}
	return time.Time{}
}

// Run follows until ctx ends, while it is this router's turn to read.
func (f *Follower) Run(ctx context.Context) error {
	revision := int64(0)
	pause := retryPause
	for ctx.Err() == nil {
		if f.known() && !f.cfg.ShouldRead(f.isLost()) {
			f.reading.Store(false)
			loop.Pause(ctx, rolePeriod)
			continue
		}
		f.reading.Store(true)
		err := f.step(ctx, &revision)
		switch {
		case err == nil:
			pause = retryPause
		case errors.Is(err, kv.ErrCompacted):
			revision = 0
		case ctx.Err() == nil:
			f.lost(err)
			loop.Pause(ctx, pause)
			pause = min(2*pause, maxRetryPause)
		}
	}
	return nil
}

// step reads everything, or waits for the next changes.
func (f *Follower) step(ctx context.Context, revision *int64) error {
	own := f.Revision()
	var err error
	if *revision == 0 || own == 0 {
		*revision, err = f.load(ctx)
		return err
	}
	// Peers may have brought this router further than its own last call.
	*revision, err = f.follow(ctx, max(*revision, own))
	return err
}

// known reports whether there is a configuration and a server list.
func (f *Follower) known() bool { return f.Revision() > 0 && f.cfg.HasConfig() }

// ReadsStore reports whether this router reads the store.
func (f *Follower) ReadsStore() bool { return f.reading.Load() }

func (f *Follower) isLost() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return !f.lostAt.IsZero()
}

// load reads everything anew, in one call.
func (f *Follower) load(ctx context.Context) (int64, error) {
	values, revision, err := f.cfg.Store.Range(ctx, "", false)
	if err != nil {
		return 0, err
	}
	f.regained()
	var servers []kv.Value
	for _, v := range values {
		if strings.HasPrefix(v.Key, f.cfg.ServersPrefix) {
			servers = append(servers, v)
		}
		f.apply(v)
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if revision >= f.revision {
		f.replace(revision, servers)
	}
	return revision, nil
}

// follow waits for changes and applies them.
func (f *Follower) follow(ctx context.Context, revision int64) (int64, error) {
	wait := watchWait
	f.mu.Lock()
	if len(f.vanished) > 0 {
		wait = returnGrace / 4
	}
	f.mu.Unlock()
	values, next, err := f.cfg.Store.WatchPrefix(ctx, "", revision, wait)
	if err != nil {
		return revision, err
	}
	f.regained()
	for _, v := range values {
		f.apply(v)
	}
	f.mu.Lock()
	f.change(next, values)
	f.mu.Unlock()
	if len(values) > 0 {
		f.cfg.OnChange()
		loop.Pause(ctx, gather)
	}
	return next, nil
}

// apply takes in what is not a server.
func (f *Follower) apply(v kv.Value) {
	switch {
	case v.Key == f.cfg.ConfigKey && !v.Deleted:
		f.cfg.SetConfig(v.Body, "store")
	case strings.HasPrefix(v.Key, f.cfg.HostsPrefix):
		f.cfg.AddHost(v.Body)
	}
}

func (f *Follower) lost(err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.lostAt.IsZero() {
		f.lostAt = time.Now()
		f.cfg.Log.WithError(err).Warn("store lost")
	}
}

func (f *Follower) regained() {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := time.Now()
	f.seenAt.Store(now.UnixNano())
	if f.lostAt.IsZero() {
		return
	}
	f.cfg.Log.WithField("away", now.Sub(f.lostAt).String()).Info("store regained")
	f.lostAt, f.back = time.Time{}, now
}
