package planner

import (
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/sirupsen/logrus"

	"wisteriafield/internal/config/document"
	"wisteriafield/internal/decision/storehistory"
	"wisteriafield/internal/platform/hosts"
	"wisteriafield/internal/router/members"
	"wisteriafield/platform/kv"
	standin "wisteriafield/platform/standin/platform"
)

// newPlanner returns a planner with its own client of the store.
func newPlanner(name, address string) (*Planner, *kv.Client) {
	log := logrus.New()
	log.SetLevel(logrus.PanicLevel)
	client := kv.New(kv.Config{Address: address, Timeout: time.Second})
	view := document.NewView(&document.Document{}, storehistory.Position{Era: 1, Revision: 1}, "")
	self := hosts.Host{Name: name, Kind: hosts.Router, State: hosts.Live, Environment: "production"}
	return New(Deps{
		Store: client, Members: members.New(self, hosts.New(hosts.Config{})), Log: logrus.NewEntry(log),
		View: func() *document.View { return view },
	}), client
}

func newStore(t *testing.T) (*standin.Server, string) {
	store := standin.New(standin.Config{})
	server := httptest.NewServer(store.Handler())
	t.Cleanup(server.Close)
	return store, strings.TrimPrefix(server.URL, "http://")
}

func TestLeadershipEndsWhenTheStoreIsRestored(t *testing.T) {
	g := NewWithT(t)
	store, address := newStore(t)
	a, client := newPlanner("a", address)
	g.Expect(a.acquireLease(t.Context())).To(BeTrue())
	a.leaderUntil.Store(a.leaseUntil.Add(-leaseMargin).UnixNano())
	g.Expect(a.IsLeader()).To(BeTrue())
	store.Restore()
	_, _ = client.Get(t.Context(), "any") // names the new era
	g.Expect(a.IsLeader()).To(BeFalse())
	g.Expect(a.holdsLease(time.Now())).To(BeFalse())
	b, _ := newPlanner("b", address)
	g.Expect(b.acquireLease(t.Context())).To(BeTrue())
	g.Expect(a.acquireLease(t.Context())).To(BeFalse())
	g.Expect(b.acquireLease(t.Context())).To(BeTrue())
}
