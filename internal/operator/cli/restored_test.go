package cli

import (
	"testing"

	. "github.com/onsi/gomega"
	"github.com/pkg/errors"

	"wisteriafield/internal/config/manifest"
	"wisteriafield/internal/decision/storehistory"
	"wisteriafield/internal/platform/hosts"
	"wisteriafield/internal/platform/publish"
	"wisteriafield/internal/router/node"
)

func TestADocumentThatCameBackOlderIsNotPromoted(t *testing.T) {
	stored := &manifest.Manifest{Environment: "trial", Era: 1, Revision: 3, Digest: "older"}
	runs := func(era, revision int64) []routerStatus {
		return []routerStatus{{Host: hosts.Host{Name: "r"}, Status: node.Status{Position: storehistory.Position{Era: era, Revision: revision}}}}
	}
	g := NewWithT(t)
	g.Expect(checkPromotable(stored, "", runs(1, 3))).To(Succeed())
	g.Expect(checkPromotable(stored, "", runs(1, 4))).To(MatchError(errStoreBehind))
	g.Expect(checkPromotable(stored, "", runs(2, 3))).To(MatchError(errStoreBehind))
	g.Expect(checkPromotable(stored, "", runs(1, 2))).To(MatchError(errUnconfirmed))
	g.Expect(checkPromotable(stored, "", nil)).To(MatchError(errUnconfirmed))
}

func TestStatusNamesRoutersThatRunWhatTheStoreLost(t *testing.T) {
	stored := &manifest.Manifest{Environment: "trial", Era: 1, Revision: 3, Digest: "older"}
	for state, status := range map[string]node.Status{
		"in force":            {Position: storehistory.Position{Era: 1, Revision: 3}, Digest: "older"},
		"unconfirmed: behind": {Position: storehistory.Position{Era: 1, Revision: 2}},
		"unconfirmed: ahead of the store, which was restored": {Position: storehistory.Position{Era: 1, Revision: 5}},
	} {
		r := routerStatus{Status: status}
		r.compare(stored)
		NewWithT(t).Expect(r.state()).To(Equal(state))
	}
}

func TestAnExpectedRevisionThatTheStoreLostIsNoRace(t *testing.T) {
	g := NewWithT(t)
	c := &changeCommand{Expect: 5}
	stored := manifest.Manifest{Environment: "trial", Era: 1, Revision: 3}
	runs := func(revision int64) func() []routerStatus {
		return func() []routerStatus {
			return []routerStatus{{Status: node.Status{Position: storehistory.Position{Era: 1, Revision: revision}}}}
		}
	}
	var race *publish.RaceError
	g.Expect(c.checkExpected(stored, runs(5))).To(MatchError(errStoreBehind))
	g.Expect(errors.As(c.checkExpected(stored, runs(3)), &race)).To(BeTrue())
	stored.Revision = 5
	g.Expect(c.checkExpected(stored, runs(5))).To(Succeed())
}
