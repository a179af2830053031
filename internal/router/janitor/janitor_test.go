package janitor_test

import (
	"context"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
	"github.com/sirupsen/logrus"

	"wisteriafield/internal/decision/claim"
	"wisteriafield/internal/router/janitor"
	"wisteriafield/platform/kv"
)

// store is an in-memory store of claims and other values.
type store map[string]kv.Value

func (s store) List(_ context.Context, prefix string) ([]kv.Value, error) {
	var all []kv.Value
	for key, v := range s {
		if strings.HasPrefix(key, prefix) {
			all = append(all, v)
		}
	}
	return all, nil
}

func (s store) Delete(_ context.Context, key string, revision int64) error {
	if s[key].Revision != revision {
		return kv.ErrConflict
	}
	delete(s, key)
	return nil
}

func (s store) Era() int64 { return 1 }

// claim adds a claim and returns its store key.
func (s store) claim(expires time.Time, key string) string {
	storeKey := claim.StoreKey("org", key, expires)
	s[storeKey] = kv.Value{Key: storeKey, Revision: int64(len(s) + 1)}
	return storeKey
}

func TestLeaderDeletesOnlyExpiredClaims(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		s := make(store)
		now := time.Now()
		s.claim(now.Add(-time.Hour), "old")
		s.claim(now.Add(-5*time.Minute), "due")
		fresh := s.claim(now.Add(time.Hour), "fresh")
		recent := s.claim(now.Add(-time.Second), "just")
		s["manifest/production"] = kv.Value{Key: "manifest/production", Revision: 99}
		isLeader := false
		j := janitor.New(janitor.Deps{Store: s, IsLeader: func() bool { return isLeader }, Now: time.Now, Log: logrus.NewEntry(logrus.New())})
		g.Expect(j.Step(context.Background())).To(Succeed())
		g.Expect(s).To(HaveLen(5))
		isLeader = true
		for range 48*60 + 10 {
			g.Expect(j.Step(context.Background())).To(Succeed())
		}
		g.Expect(s).To(HaveLen(3))
		g.Expect(s).To(And(HaveKey(fresh), HaveKey(recent), HaveKey("manifest/production")))
	})
}

// restoredStore is a store whose era changes.
type restoredStore struct {
	store
	era int64
}

func (s *restoredStore) Era() int64 { return s.era }

func TestClaimsThatCameBackWithTheStoreAreDeletedAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		s := &restoredStore{store: make(store), era: 1}
		j := janitor.New(janitor.Deps{Store: s, IsLeader: func() bool { return true }, Now: time.Now, Log: logrus.NewEntry(logrus.New())})
		expired := time.Now().Add(-time.Hour)
		for range 2 {
			s.claim(expired, "old")
			for range 48*60 + 10 {
				g.Expect(j.Step(context.Background())).To(Succeed())
			}
			g.Expect(s.store).To(BeEmpty())
			s.era++
		}
	})
}
