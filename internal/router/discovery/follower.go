// Package discovery follows the configuration and the server list in the platform's
// store, and registers this router there.
package discovery

import (
	"context"
	"math/rand/v2"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"wisteriafield/internal/backend/server"
	"wisteriafield/internal/base/loop"
	"wisteriafield/internal/decision/freshness"
	"wisteriafield/internal/decision/storehistory"
	"wisteriafield/internal/decision/storereader"
	"wisteriafield/platform/kv"
)

const (
	// watchTimeout is how long a watch waits for changes. A watch may miss changes
	// around a compaction until the next watch starts, and a change must take effect
	// within two seconds.
	watchTimeout = time.Second
	// probeWatchTimeout is the same for the first watch after a failed call or a time without
	// calls: a restored store may wait for changes after a position of the lost history, and
	// only its answer shows the new era.
	probeWatchTimeout = 10 * time.Millisecond
	// roleCheckInterval is how often a router that does not read the store checks
	// whether it should.
	roleCheckInterval = 200 * time.Millisecond
	// maxLoggedChanges is how many changes are kept for peers with an older server list.
	maxLoggedChanges = 512
	// batchDelay is the delay of the primary reader before its next watch, so that one call
	// returns several changes. It is a small part of the two seconds that a change may take.
	batchDelay = 300 * time.Millisecond
	// secondaryBatchDelay is the same for the secondary reader, which gets the changes from
	// the primary's messages first.
	secondaryBatchDelay = time.Second
	// minRetryDelay is the delay after the first failed call of a router that has no data
	// yet. It doubles with each failure up to maxRetryDelay, at which a router that has data
	// starts: servers whose entries expired must be known again within two seconds of the
	// store's recovery.
	minRetryDelay = 250 * time.Millisecond
	maxRetryDelay = time.Second
	// maxRefusedRetryDelay bounds the delay while other routers reach the store.
	maxRefusedRetryDelay = 4 * time.Second
	// recoveryGrace is how long entries that expired during an outage of the store, or were
	// lost when it was restored, are kept after it: live servers register again within two
	// seconds.
	recoveryGrace = 2200 * time.Millisecond
	// unusedPrefix is one of no keys. A stale read of it costs a tenth of a call.
	unusedPrefix = "unused/"
	// minRereadInterval is the time between two reads of all entries because a watch was
	// refused. A change must take effect within two seconds also if every watch is refused.
	minRereadInterval = time.Second
)

// Store reads the platform's store.
type Store interface {
	Range(ctx context.Context, prefix string, stale bool) ([]kv.Value, storehistory.Position, error)
	WatchPrefix(ctx context.Context, prefix string, after storehistory.Position, wait time.Duration) ([]kv.Value, storehistory.Position, error)
	Era() int64 // the newest that an answer named
	// CloseIdle closes the connections that no call uses, so that the next call opens one.
	CloseIdle()
}

// Config holds the dependencies and settings of a Follower.
type Config struct {
	Store         Store
	ConfigKey     string
	ServersPrefix string
	DecodeServer  func(key string, value []byte) (server.Server, error)
	SetConfig     func(value []byte, source string)
	SetServers    func(at storehistory.Position, servers []server.Server)
	HostsPrefix   string // prefix of the routers' own entries
	AddHost       func(value []byte)
	OnChange      func()        // called after each answer of the store and after changes were applied
	HasConfig     func() bool   // a configuration is in effect
	ChangeTime    time.Duration // in which a change must take effect
	// Decide returns the role of this router in reading the store.
	Decide func() storereader.Decision
	Log    *logrus.Entry
}

// Follower keeps the configuration and the server list up to date.
type Follower struct {
	cfg Config

	wake       chan struct{} // ends a pause or a watch
	probeDue   bool          // the next watch waits for probeWatchTimeout; used only by Run
	cheapFirst bool          // a stale read has to succeed before other calls; used only by Run

	mu               sync.Mutex
	position         storehistory.Position // up to which the server list is known
	fresh            freshness.Tracker
	arrivals         freshness.Arrivals
	eras             storehistory.Tracker
	raw              map[string]kv.Value // server entries as the store holds them, by key
	changeLog        *storehistory.Log[kv.Value]
	entries          map[string]server.Server  // by key
	keptUntil        map[string]time.Time      // when expired entries are removed, by key
	removed          map[string]removal        // by key
	heldUntil        map[string]time.Time      // when entries that came back with the store are used, by key
	unreachableSince time.Time                 // when the store stopped answering this router; zero while it answers
	outage           bool                      // the store answers no known router
	storeReachedAt   atomic.Pointer[time.Time] // of the store's last answer; steps of the wall clock do not change its age
	role             atomic.Pointer[storereader.Role]
	failing          atomic.Bool // the last call of the store failed
	recoveredAt      time.Time   // when the store answered again after an outage
}

// New returns a Follower.
func New(cfg Config) *Follower {
	return &Follower{
		cfg: cfg, wake: make(chan struct{}, 1), changeLog: storehistory.NewLog[kv.Value](maxLoggedChanges),
		raw: make(map[string]kv.Value), entries: make(map[string]server.Server), keptUntil: make(map[string]time.Time),
		removed: make(map[string]removal), heldUntil: make(map[string]time.Time),
	}
}

// StoreReached returns when the store last answered this router, or the zero time if
// it never did.
func (f *Follower) StoreReached() time.Time {
	if at := f.storeReachedAt.Load(); at != nil {
		return *at
	}
	return time.Time{}
}

// Run reads and watches the store until ctx ends, while this router has the role to.
func (f *Follower) Run(ctx context.Context) error {
	go loop.Every(ctx, eraCheckInterval, f.checkEra)
	go loop.Every(ctx, freshness.AliveInterval, func(time.Time) { f.arrivals.Alive(time.Now()) })
	var position storehistory.Position
	var nextReread time.Time // after a refused watch
	delay := minRetryDelay
	for ctx.Err() == nil {
		role := f.nextRole(time.Now())
		if role == storereader.Idle {
			f.probeDue = true
			f.pause(ctx, roleCheckInterval)
			continue
		}
		err := f.readOrWatch(ctx, &position)
		switch {
		case err == nil:
			f.probeDue = false
			delay = f.firstDelay()
		case errors.Is(err, kv.ErrCompacted):
			position = storehistory.Position{}
			f.pause(ctx, time.Until(nextReread))
			nextReread = time.Now().Add(minRereadInterval)
		case ctx.Err() == nil:
			f.probeDue = true
			f.recordFailure(err)
			// The jitter keeps routers that started together from calling together.
			f.pauseAfterFailure(ctx, delay/2+rand.N(delay))
			delay = min(2*delay, f.maxDelay())
		}
	}
	return nil
}

// readOrWatch reads all entries, or waits for the next changes.
func (f *Follower) readOrWatch(ctx context.Context, position *storehistory.Position) error {
	f.clearInterrupt()
	if f.probeDue {
		f.cfg.Store.CloseIdle() // one that was kept may have gone silent
	}
	if f.cheapFirst {
		if _, _, err := f.cfg.Store.Range(ctx, unusedPrefix, true); err != nil {
			return err
		}
	}
	applied := f.Position()
	// A peer may have told this router more than its last call did.
	after := storehistory.Later(*position, storehistory.Earlier(applied, f.configAt()))
	var err error
	if position.IsZero() || applied.IsZero() || f.restoredSince(after) {
		*position, err = f.readAll(ctx)
		return err
	}
	*position, err = f.watch(ctx, after)
	return err
}

// initialized reports whether this router has a configuration and a server list.
func (f *Follower) initialized() bool { return !f.Position().IsZero() && f.cfg.HasConfig() }

// readAll reads all entries in one call and replaces the server list.
func (f *Follower) readAll(ctx context.Context) (storehistory.Position, error) {
	start := time.Now()
	values, position, err := f.cfg.Store.Range(ctx, "", false)
	if err != nil {
		return position, err
	}
	f.recordAnswer()
	var servers []kv.Value
	for _, v := range values {
		if strings.HasPrefix(v.Key, f.cfg.ServersPrefix) {
			servers = append(servers, v)
		}
		f.applyConfigOrHost(v)
	}
	f.mu.Lock()
	f.eras.Read(position.Era)
	if !position.Before(f.position) {
		f.replaceServers(position, servers)
	}
	f.fresh.Read(position, start)
	f.mu.Unlock()
	f.cfg.OnChange()
	return position, nil
}

// watch waits for changes and applies them.
func (f *Follower) watch(ctx context.Context, after storehistory.Position) (storehistory.Position, error) {
	wait := watchTimeout
	f.mu.Lock()
	if len(f.keptUntil)+len(f.heldUntil) > 0 {
		wait = recoveryGrace / 4
	}
	if f.probeDue {
		wait = probeWatchTimeout
	}
	f.mu.Unlock()
	watchCtx, interrupted := f.interruptible(ctx)
	start := time.Now()
	values, next, err := f.cfg.Store.WatchPrefix(watchCtx, "", after, wait)
	isInterrupted := interrupted()
	if isInterrupted && err != nil {
		return after, nil
	}
	if err != nil {
		return after, err
	}
	f.recordAnswer()
	for _, v := range values {
		f.applyConfigOrHost(v)
	}
	f.mu.Lock()
	f.applyChanges(next, values)
	now := time.Now()
	f.fresh.Read(next, freshness.WatchedAt(start, f.arrivals.Earliest(now), wait, len(values) > 0))
	f.mu.Unlock()
	f.cfg.OnChange()
	if len(values) > 0 && !isInterrupted {
		delay := batchDelay
		if f.Role() == storereader.Secondary {
			delay = secondaryBatchDelay
		}
		f.pause(ctx, delay)
	}
	return next, nil
}

// applyConfigOrHost applies an entry if it is the configuration or a router's entry.
func (f *Follower) applyConfigOrHost(v kv.Value) {
	switch {
	case v.Key == f.cfg.ConfigKey && !v.Deleted:
		f.cfg.SetConfig(v.Body, "store")
	case strings.HasPrefix(v.Key, f.cfg.HostsPrefix) && !v.Deleted:
		f.cfg.AddHost(v.Body)
	}
}
