// Package discovery follows the configuration and the server list in the
// platform's store.
package discovery

import (
	"context"
	"strings"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"wisteriafield/internal/backend/server"
	"wisteriafield/internal/base/loop"
	"wisteriafield/platform/kv"
)

const (
	// watchWait is how long a watch waits for changes; a longer one finds a
	// silent connection later.
	watchWait = 8 * time.Second
	// gather is the pause before a watch is armed again, so that one call brings
	// several changes. It is a small part of the seconds that a change may take.
	gather = 150 * time.Millisecond
	// retryPause is between calls that failed.
	retryPause = 250 * time.Millisecond
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
	SetServers    func(servers []server.Server)
	Log           *logrus.Entry
}

// Follower keeps the configuration and the servers up to date.
type Follower struct {
	cfg      Config
	entries  map[string]server.Server // by key
	vanished map[string]time.Time     // entries kept until a time
	lostAt   time.Time                // when the store was lost; zero while it answers
	seenAt   atomic.Int64             // Unix nanoseconds of the store's last answer
	back     time.Time                // when it answered again
}

// New returns a follower.
func New(cfg Config) *Follower {
	return &Follower{cfg: cfg, entries: make(map[string]server.Server), vanished: make(map[string]time.Time)}
}

// SeenAt returns when the store answered last.
func (f *Follower) SeenAt() time.Time { return time.Unix(0, f.seenAt.Load()) }

// Run follows until ctx ends.
func (f *Follower) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		revision, err := f.load(ctx)
		for err == nil && ctx.Err() == nil {
			revision, err = f.follow(ctx, revision)
		}
		if ctx.Err() != nil {
			return nil
		}
		if !errors.Is(err, kv.ErrCompacted) {
			f.lost(err)
			loop.Pause(ctx, retryPause)
		}
	}
	return nil
}

// load reads everything anew.
func (f *Follower) load(ctx context.Context) (int64, error) {
	config, revision, err := f.cfg.Store.Range(ctx, f.cfg.ConfigKey, false)
	if err != nil {
		return 0, err
	}
	servers, _, err := f.cfg.Store.Range(ctx, f.cfg.ServersPrefix, false)
	if err != nil {
		return 0, err
	}
	f.regained()
	for _, v := range config {
		f.apply(v)
	}
	listed := make(map[string]bool, len(servers))
	for _, v := range servers {
		listed[v.Key] = true
		f.apply(v)
	}
	now := time.Now()
	for key := range f.entries {
		if !listed[key] {
			f.drop(key, now)
		}
	}
	f.publish(now)
	return revision, nil
}

// follow waits for changes and applies them.
func (f *Follower) follow(ctx context.Context, revision int64) (int64, error) {
	wait := watchWait
	if len(f.vanished) > 0 {
		wait = 500 * time.Millisecond
	}
	values, next, err := f.cfg.Store.WatchPrefix(ctx, "", revision, wait)
	if err != nil {
		return revision, err
	}
	f.regained()
	now := time.Now()
	for _, v := range values {
		f.apply(v)
	}
	f.publish(now)
	if len(values) > 0 {
		loop.Pause(ctx, gather)
	}
	return next, nil
}

func (f *Follower) apply(v kv.Value) {
	switch {
	case v.Key == f.cfg.ConfigKey && !v.Deleted:
		f.cfg.SetConfig(v.Body, "store")
	case strings.HasPrefix(v.Key, f.cfg.ServersPrefix):
		f.applyServer(v)
	}
}

func (f *Follower) applyServer(v kv.Value) {
	if v.Deleted {
		f.drop(v.Key, time.Now())
		return
	}
	delete(f.vanished, v.Key)
	s, err := f.cfg.DecodeServer(v.Key, v.Body)
	if err != nil {
		f.cfg.Log.WithField("key", v.Key).WithError(err).Info("entry passed over")
		delete(f.entries, v.Key)
		return
	}
	f.entries[v.Key] = s
}

// drop takes an entry out, or keeps it a while if it may have lapsed only
// because the store was away.
func (f *Follower) drop(key string, now time.Time) {
	if _, ok := f.entries[key]; !ok {
		return
	}
	if !f.back.IsZero() && now.Sub(f.back) < returnGrace {
		if f.vanished[key].IsZero() {
			f.vanished[key] = f.back.Add(returnGrace)
		}
		return
	}
	delete(f.entries, key)
	delete(f.vanished, key)
}

func (f *Follower) publish(now time.Time) {
	for key, until := range f.vanished {
		if !now.Before(until) {
			delete(f.entries, key)
			delete(f.vanished, key)
		}
	}
	servers := make([]server.Server, 0, len(f.entries))
	for _, s := range f.entries {
		servers = append(servers, s)
	}
	f.cfg.SetServers(servers)
}

func (f *Follower) lost(err error) {
	if f.lostAt.IsZero() {
		f.lostAt = time.Now()
		f.cfg.Log.WithError(err).Warn("store lost")
	}
}

func (f *Follower) regained() {
	now := time.Now()
	f.seenAt.Store(now.UnixNano())
	if f.lostAt.IsZero() {
		return
	}
	f.cfg.Log.WithField("away", now.Sub(f.lostAt).String()).Info("store regained")
	f.lostAt, f.back = time.Time{}, now
}
