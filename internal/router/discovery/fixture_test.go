package discovery_test

import (
	"context"
	"errors"
	"io"
	"maps"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
	"github.com/sirupsen/logrus"

	"wisteriafield/internal/backend/server"
	"wisteriafield/internal/decision/storehistory"
	"wisteriafield/internal/decision/storereader"
	"wisteriafield/internal/router/discovery"
	"wisteriafield/platform/kv"
)

// roundTrip is the time that a call takes.
const roundTrip = 2 * time.Millisecond

// store is an in-memory store. Its watches can miss changes, as around a compaction.
type store struct {
	mu            sync.Mutex
	revision      int64
	values        map[string]kv.Value
	history       []kv.Value
	oldest        int64 // earlier history is compacted
	missesChanges bool
	unreachable   bool
	era           int64
	restoredTo    *store // what restore goes back to
	seenEra       int64  // newest that an answer named
	ranges        int
	watches       int
	beforeEvents  func() // called before a watch returns events
}

// copy makes the copy that the next restore goes back to.
func (s *store) copy() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.restoredTo = &store{revision: s.revision, values: maps.Clone(s.values), history: slices.Clone(s.history)}
}

// restore goes back to the copy. Revisions since are given out again.
func (s *store) restore() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.era++
	s.revision, s.values, s.history = s.restoredTo.revision, maps.Clone(s.restoredTo.values), slices.Clone(s.restoredTo.history)
}

// calls returns the numbers of calls since the last time.
func (s *store) calls() (ranges, watches int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	ranges, watches = s.ranges, s.watches
	s.ranges, s.watches = 0, 0
	return ranges, watches
}

// Era returns the newest era that an answer named.
func (s *store) Era() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.seenEra
}

func (s *store) CloseIdle() {}

func (s *store) put(key, body string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	v := kv.Value{Key: key, Body: []byte(body), Revision: s.revision}
	s.values[key] = v
	s.history = append(s.history, v)
}

func (s *store) remove(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	delete(s.values, key)
	s.history = append(s.history, kv.Value{Key: key, Revision: s.revision, Deleted: true})
}

func (s *store) update(f func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f()
}

func (s *store) Range(context.Context, string, bool) ([]kv.Value, storehistory.Position, error) {
	time.Sleep(roundTrip)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ranges++
	if s.unreachable {
		return nil, storehistory.Position{}, kv.ErrUnavailable
	}
	s.seenEra = s.era
	var all []kv.Value
	for _, v := range s.values {
		v.Era = s.era
		all = append(all, v)
	}
	return all, storehistory.Position{Era: s.era, Revision: s.revision}, nil
}

func (s *store) WatchPrefix(ctx context.Context, _ string, after storehistory.Position, wait time.Duration) ([]kv.Value, storehistory.Position, error) {
	end := time.Now().Add(wait)
	time.Sleep(roundTrip)
	s.update(func() { s.watches++ })
	for time.Now().Before(end) && ctx.Err() == nil {
		s.mu.Lock()
		if s.unreachable {
			s.mu.Unlock()
			return nil, storehistory.Position{}, kv.ErrUnavailable
		}
		if after.Revision < s.oldest || after.Revision > s.revision {
			s.seenEra = s.era
			s.mu.Unlock()
			return nil, storehistory.Position{}, kv.ErrCompacted
		}
		var events []kv.Value
		for _, v := range s.history {
			if v.Revision > after.Revision && !s.missesChanges {
				v.Era = s.era
				events = append(events, v)
			}
		}
		revision, era, beforeEvents := s.revision, s.era, s.beforeEvents
		s.mu.Unlock()
		if len(events) > 0 {
			if beforeEvents != nil {
				beforeEvents()
			}
			return s.endWatch(after, era, events, revision)
		}
		time.Sleep(5 * time.Millisecond)
	}
	if ctx.Err() != nil {
		return nil, after, ctx.Err()
	}
	s.mu.Lock()
	era := s.era
	s.mu.Unlock()
	return s.endWatch(after, era, nil, after.Revision)
}

// endWatch answers a watch in an era. The store does not know in which era the watched position
// is, so that only the answer shows that it is in another.
func (s *store) endWatch(after storehistory.Position, era int64, events []kv.Value, revision int64) ([]kv.Value, storehistory.Position, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.seenEra = max(s.seenEra, era)
	if after.Era != era {
		return nil, storehistory.Position{}, kv.ErrCompacted
	}
	return events, storehistory.Position{Era: era, Revision: revision}, nil
}

// fixture holds a follower, its store and what the follower passed on.
type fixture struct {
	*WithT
	store    *store
	follower *discovery.Follower

	changes atomic.Int64 // calls of OnChange

	mu       sync.Mutex
	config   string
	servers  []server.Server
	decision storereader.Decision
	pathOnly bool // other routers reach the store while this one does not
}

func decode(key string, body []byte) (server.Server, error) {
	if string(body) != "ready" && string(body) != "leaving" {
		return server.Server{}, errors.New("garbage")
	}
	return server.Server{ID: strings.TrimPrefix(key, "servers/"), Leaving: string(body) == "leaving"}, nil
}

// runFollower starts a follower of a store with two servers and runs test.
func runFollower(t *testing.T, test func(f *fixture)) {
	runFollowerOf(t, func(s *store) {
		s.put("config", "one")
		s.put("servers/a", "ready")
		s.put("servers/b", "ready")
	}, test)
}

// runFollowerOf starts a follower of a store that fill has filled and runs test.
func runFollowerOf(t *testing.T, fill func(s *store), test func(f *fixture)) {
	synctest.Test(t, func(t *testing.T) { runFollowerNow(t, fill, test) })
}

// runFollowerNow is runFollowerOf with the real clock.
func runFollowerNow(t *testing.T, fill func(s *store), test func(f *fixture)) {
	f := &fixture{WithT: NewWithT(t), store: &store{era: 1, values: map[string]kv.Value{}}, decision: storereader.Decision{Role: storereader.Primary}}
	log := logrus.New()
	log.SetOutput(io.Discard)
	fill(f.store)
	f.follower = discovery.New(discovery.Config{
		Store: f.store, ConfigKey: "config", ServersPrefix: "servers/", HostsPrefix: "hosts/", ChangeTime: 2 * time.Second,
		DecodeServer: decode, OnChange: func() { f.changes.Add(1) }, AddHost: func([]byte) {},
		SetConfig:  func(value []byte, _ string) { f.mu.Lock(); f.config = string(value); f.mu.Unlock() },
		SetServers: func(_ storehistory.Position, s []server.Server) { f.mu.Lock(); f.servers = s; f.mu.Unlock() },
		HasConfig:  func() bool { f.mu.Lock(); defer f.mu.Unlock(); return f.config != "" },
		Decide:     f.decideRole,
		Log:        log.WithField("part", "store"),
	})
	ctx, stop := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { _ = f.follower.Run(ctx); close(done) }()
	defer func() { stop(); <-done }()
	time.Sleep(50 * time.Millisecond)
	test(f)
}

// decideRole returns the follower's role. Unless only its path is cut, no other router reaches
// the store while this one does not.
func (f *fixture) decideRole() storereader.Decision {
	f.mu.Lock()
	d := f.decision
	f.mu.Unlock()
	f.store.update(func() { d.Outage = d.Outage || f.store.unreachable && !f.pathOnly })
	return d
}

// decide sets the follower's role.
func (f *fixture) decide(d storereader.Decision) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.decision = d
}

// activeServers returns the servers passed on that are not leaving.
func (f *fixture) activeServers() (ids []string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, s := range f.servers {
		if !s.Leaving {
			ids = append(ids, s.ID)
		}
	}
	return ids
}

func (f *fixture) currentConfig() string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.config
}
