package discovery_test

import (
	"context"
	"io"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
	"github.com/sirupsen/logrus"

	"wisteriafield/internal/router/discovery"
	"wisteriafield/platform/kv"
)

// leaseStore counts the calls of a registrar. The lease has expired while lapsed.
type leaseStore struct {
	mu               sync.Mutex
	writes, renewals int
	lapsed           bool
	onSet            func() // called when the entry is written; may be nil
}

func (s *leaseStore) Grant(context.Context, time.Duration) (string, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.writes++
	s.lapsed = false
	return "lease", nil
}

func (s *leaseStore) KeepAlive(context.Context, string) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.renewals++
	if s.lapsed {
		return kv.ErrNotFound
	}
	return nil
}

func (s *leaseStore) SetWithLease(context.Context, string, []byte, string) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.writes++
	if s.onSet != nil {
		s.onSet()
	}
	return nil
}

// lapse lets the lease expire.
func (s *leaseStore) lapse() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lapsed = true
}

func (s *leaseStore) counts() (writes, renewals int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.writes, s.renewals
}

func TestARouterListsItselfWhileItShouldAndAgainAfterALapse(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		s := &leaseStore{}
		var mu sync.Mutex
		should := false
		log := logrus.New()
		log.SetOutput(io.Discard)
		r := &discovery.Registrar{Store: s, Key: "hosts/a", Log: log.WithField("part", "store"), ShouldList: func() bool { mu.Lock(); defer mu.Unlock(); return should },
			Era: func() int64 { return 1 }, Turn: func() time.Duration { return 0 }}
		set := func(v bool) { mu.Lock(); defer mu.Unlock(); should = v }
		ctx, stop := context.WithCancel(context.Background())
		done := make(chan struct{})
		go func() { _ = r.Run(ctx); close(done) }()
		time.Sleep(10 * time.Second)
		writes, renewals := s.counts()
		g.Expect(writes + renewals).To(BeZero())
		set(true)
		time.Sleep(2 * time.Second)
		writes, _ = s.counts()
		g.Expect(writes).To(Equal(2))
		time.Sleep(2 * time.Minute)
		_, renewals = s.counts()
		g.Expect(renewals).To(BeNumerically("~", 6, 1))
		s.lapse()
		time.Sleep(25 * time.Second)
		writes, _ = s.counts()
		g.Expect(writes).To(Equal(4), "registered again")
		set(false)
		time.Sleep(time.Minute)
		_, before := s.counts()
		time.Sleep(5 * time.Minute)
		_, after := s.counts()
		g.Expect(after).To(Equal(before), "the lease is left to expire")
		stop()
		<-done
	})
}

// A restored store loses the leases; the entry was once missing until the next renewal.
func TestARouterListsItselfAgainSoonAfterTheStoreWasRestored(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		s := &leaseStore{}
		var era atomic.Int64
		era.Store(1)
		log := logrus.New()
		log.SetOutput(io.Discard)
		const turn = 2 * time.Second
		r := &discovery.Registrar{Store: s, Key: "hosts/a", Log: log.WithField("part", "store"), ShouldList: func() bool { return true },
			Era: era.Load, Turn: func() time.Duration { return turn }}
		ctx, stop := context.WithCancel(context.Background())
		done := make(chan struct{})
		go func() { _ = r.Run(ctx); close(done) }()
		defer func() { stop(); <-done }()
		time.Sleep(5500 * time.Millisecond)
		era.Store(2)
		time.Sleep(turn)
		writes, _ := s.counts()
		g.Expect(writes).To(Equal(2), "it waits for its turn")
		time.Sleep(1500 * time.Millisecond)
		writes, _ = s.counts()
		g.Expect(writes).To(Equal(4))
		time.Sleep(10 * time.Second)
		writes, _ = s.counts()
		g.Expect(writes).To(Equal(4), "once")
	})
}

// The entry of a router that wrote it during a restore was once missing until the next renewal.
func TestARouterThatListedItselfWhileTheStoreWasRestoredDoesSoAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		var era atomic.Int64
		era.Store(1)
		s := &leaseStore{onSet: func() { era.Store(2) }}
		log := logrus.New()
		log.SetOutput(io.Discard)
		r := &discovery.Registrar{Store: s, Key: "hosts/a", Log: log.WithField("part", "store"), ShouldList: func() bool { return true },
			Era: era.Load, Turn: func() time.Duration { return 0 }}
		ctx, stop := context.WithCancel(context.Background())
		done := make(chan struct{})
		go func() { _ = r.Run(ctx); close(done) }()
		defer func() { stop(); <-done }()
		time.Sleep(5 * time.Second)
		writes, _ := s.counts()
		g.Expect(writes).To(Equal(4))
		time.Sleep(10 * time.Second)
		writes, _ = s.counts()
		g.Expect(writes).To(Equal(4), "once")
	})
}
