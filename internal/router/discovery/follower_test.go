package discovery_test

import (
	"context"
	"errors"
	"io"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
	"github.com/sirupsen/logrus"

	"wisteriafield/internal/backend/server"
	"wisteriafield/internal/router/discovery"
	"wisteriafield/platform/kv"
)

// store is a store in memory. Watches can be deaf, as around a compaction.
type store struct {
	mu       sync.Mutex
	revision int64
	values   map[string]kv.Value
	history  []kv.Value
	oldest   int64 // history before it is gone
	deaf     bool
	down     bool
}

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

func (s *store) set(f func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f()
}

func (s *store) Range(context.Context, string, bool) ([]kv.Value, int64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		return nil, 0, kv.ErrUnavailable
	}
	var all []kv.Value
	for _, v := range s.values {
		all = append(all, v)
	}
	return all, s.revision, nil
}

func (s *store) WatchPrefix(ctx context.Context, _ string, after int64, wait time.Duration) ([]kv.Value, int64, error) {
	end := time.Now().Add(wait)
	for time.Now().Before(end) && ctx.Err() == nil {
		s.mu.Lock()
		if s.down {
			s.mu.Unlock()
			return nil, 0, kv.ErrUnavailable
		}
		if after < s.oldest {
			s.mu.Unlock()
			return nil, 0, kv.ErrCompacted
		}
		var events []kv.Value
		for _, v := range s.history {
			if v.Revision > after && !s.deaf {
				events = append(events, v)
			}
		}
		revision := s.revision
		s.mu.Unlock()
		if len(events) > 0 {
			return events, revision, nil
		}
		time.Sleep(5 * time.Millisecond)
	}
	return nil, after, ctx.Err()
}

// world is a follower of a store.
type world struct {
	*WithT
	store    *store
	follower *discovery.Follower

	mu      sync.Mutex
	config  string
	servers []server.Server
	reads   bool
}

func decode(key string, body []byte) (server.Server, error) {
	if string(body) == "garbage" {
		return server.Server{}, errors.New("garbage")
	}
	return server.Server{ID: strings.TrimPrefix(key, "servers/"), Leaving: string(body) == "leaving"}, nil
}

func play(t *testing.T, story func(w *world)) {
	synctest.Test(t, func(t *testing.T) {
		w := &world{WithT: NewWithT(t), store: &store{values: map[string]kv.Value{}}, reads: true}
		log := logrus.New()
		log.SetOutput(io.Discard)
		w.store.put("config", "one")
		w.store.put("servers/a", "ready")
		w.store.put("servers/b", "ready")
		w.follower = discovery.New(discovery.Config{
			Store: w.store, ConfigKey: "config", ServersPrefix: "servers/", HostsPrefix: "hosts/",
			DecodeServer: decode, OnChange: func() {}, AddHost: func([]byte) {},
			SetConfig:  func(value []byte, _ string) { w.mu.Lock(); w.config = string(value); w.mu.Unlock() },
			SetServers: func(_ int64, s []server.Server) { w.mu.Lock(); w.servers = s; w.mu.Unlock() },
			HasConfig:  func() bool { w.mu.Lock(); defer w.mu.Unlock(); return w.config != "" },
			ShouldRead: func(bool) bool { w.mu.Lock(); defer w.mu.Unlock(); return w.reads },
			Log:        log.WithField("part", "store"),
		})
		ctx, stop := context.WithCancel(context.Background())
		done := make(chan struct{})
		go func() { _ = w.follower.Run(ctx); close(done) }()
		time.Sleep(50 * time.Millisecond)
		story(w)
		stop()
		<-done
	})
}

func (w *world) known() (ids []string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, s := range w.servers {
		if !s.Leaving {
			ids = append(ids, s.ID)
		}
	}
	return ids
}

func (w *world) version() string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.config
}

func TestChangesAreInForceWithinASecond(t *testing.T) {
	play(t, func(w *world) {
		w.Expect(w.known()).To(ConsistOf("a", "b"))
		w.store.put("config", "two")
		w.store.put("servers/a", "leaving")
		w.store.remove("servers/b")
		w.store.put("servers/c", "ready")
		time.Sleep(time.Second)
		w.Expect(w.version()).To(Equal("two"))
		w.Expect(w.known()).To(ConsistOf("c"))
	})
}

// Found on scale-2 of both sites: a watch that waits hears nothing around a
// compaction; the change was in force five seconds late.
func TestAChangeAroundACompactionIsInForceWithinTwoSeconds(t *testing.T) {
	play(t, func(w *world) {
		w.store.set(func() { w.store.deaf = true })
		w.store.put("config", "two")
		w.store.set(func() { w.store.oldest = w.store.revision })
		time.Sleep(2 * time.Second)
		w.Expect(w.version()).To(Equal("two"))
	})
}

func TestEntriesThatNameNoServerArePassedOver(t *testing.T) {
	play(t, func(w *world) {
		w.store.put("servers/a", "garbage")
		w.store.put("servers/d", "garbage")
		time.Sleep(time.Second)
		w.Expect(w.known()).To(ConsistOf("b"))
	})
}

func TestEntriesThatLapsedDuringAnOutageAreKeptUntilLiveServersAreBack(t *testing.T) {
	play(t, func(w *world) {
		w.store.set(func() { w.store.down = true })
		time.Sleep(4 * time.Second)
		w.Expect(w.known()).To(ConsistOf("a", "b"), "an outage takes nothing away")
		w.store.set(func() {
			w.store.down = false
			w.store.values = map[string]kv.Value{"config": w.store.values["config"]}
			w.store.revision += 10
			w.store.oldest = w.store.revision
		})
		time.Sleep(1500 * time.Millisecond)
		w.Expect(w.known()).To(ConsistOf("a", "b"))
		w.store.put("servers/a", "ready")
		time.Sleep(3 * time.Second)
		w.Expect(w.known()).To(ConsistOf("a"), "what is still missing is gone")
	})
}

func TestARouterThatDoesNotReadFollowsItsPeers(t *testing.T) {
	play(t, func(w *world) {
		w.mu.Lock()
		w.reads = false
		w.mu.Unlock()
		time.Sleep(2 * time.Second)
		w.store.put("servers/c", "ready")
		time.Sleep(2 * time.Second)
		w.Expect(w.known()).To(ConsistOf("a", "b"))
		had := w.follower.Revision()
		changes := []kv.Value{{Key: "servers/c", Body: []byte("ready"), Revision: had + 1}, {Key: "servers/a", Revision: had + 2, Deleted: true}}
		w.follower.ApplyServerList(had, had+2, changes, false, "peer")
		w.Expect(w.known()).To(ConsistOf("b", "c"))
		w.follower.ApplyServerList(had, had+1, []kv.Value{{Key: "servers/a", Revision: had + 1}}, false, "late peer")
		w.Expect(w.known()).To(ConsistOf("b", "c"), "nothing goes back")
		w.follower.ApplyServerList(had+7, had+9, changes, false, "peer")
		w.Expect(w.follower.Revision()).To(Equal(had+2), "changes with a gap before them are not taken")
		revision, values, whole := w.follower.ServerList(had)
		w.Expect(revision).To(Equal(had + 2))
		w.Expect(values).To(HaveLen(2))
		w.Expect(whole).To(BeFalse())
	})
}
