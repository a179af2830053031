package planner

import (
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/sirupsen/logrus"

	"wisteriafield/internal/config/document"
	"wisteriafield/internal/decision/invariant"
	"wisteriafield/internal/decision/plan"
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

func TestTheNextPlanContinuesTheOneThatTheStoreLost(t *testing.T) {
	g := NewWithT(t)
	store, address := newStore(t)
	a, client := newPlanner("a", address)
	violations := invariant.Violations()
	lead := func(documentRevision int64) {
		g.Expect(a.acquireLease(t.Context())).To(BeTrue())
		view := document.NewView(&document.Document{}, storehistory.Position{Era: 1, Revision: documentRevision}, "")
		g.Expect(a.step(t.Context(), view)).To(Succeed())
	}
	lead(1)
	store.Copy()
	lead(2)
	lead(3)
	lost := a.Current().Position()
	store.Restore()
	leader, err := client.Get(t.Context(), a.leaderKey()) // names the new era
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(client.Delete(t.Context(), a.leaderKey(), leader.Revision)).To(Succeed(), "as when the lease of the copy expires")
	lead(3)
	g.Expect(a.Current().Position()).To(Equal(storehistory.Position{Era: 2, Revision: lost.Revision + 1}))
	other, _ := newPlanner("b", address)
	g.Expect(other.Current()).To(BeNil())
	stored, _, err := other.readPlan(t.Context())
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(stored.Position()).To(Equal(a.Current().Position()))
	g.Expect(invariant.Violations()).To(Equal(violations))
}

func TestAFollowerTakesAPlanOfTheNewEraAndNoOlderOne(t *testing.T) {
	g := NewWithT(t)
	_, address := newStore(t)
	p, _ := newPlanner("a", address)
	p.apply(&plan.Plan{Era: 1, Revision: 9})
	p.apply(&plan.Plan{Era: 1, Revision: 4})
	g.Expect(p.Current().Revision).To(BeEquivalentTo(9))
	p.apply(&plan.Plan{Era: 2, Revision: 5})
	g.Expect(p.Current().Position()).To(Equal(storehistory.Position{Era: 2, Revision: 5}))
	reply, err := p.handlePlan(t.Context(), []byte(`{"HaveEra":1,"Have":9}`))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(reply.(planReply).Plan).NotTo(BeNil())
}
