package cli

import (
	"testing"

	. "github.com/onsi/gomega"

	"wisteriafield/internal/config/manifest"
	"wisteriafield/internal/decision/storehistory"
	"wisteriafield/internal/platform/hosts"
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
