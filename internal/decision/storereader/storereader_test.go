package storereader_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"wisteriafield/internal/decision/storereader"
)

var now = time.Unix(1_000, 0)

func fleet(n int, age time.Duration) []storereader.Router {
	var all []storereader.Router
	for i := range n {
		all = append(all, storereader.Router{Name: fmt.Sprintf("router-%d", i), ReachedAt: now.Add(-age)})
	}
	return all
}

// storeReaders returns the names of the routers that read the store, if each router
// knows all others.
func storeReaders(all []storereader.Router, lastCallFailed map[string]bool) []string {
	var names []string
	for i, self := range all {
		peers := append(append([]storereader.Router{}, all[:i]...), all[i+1:]...)
		if storereader.ShouldRead(self, peers, lastCallFailed[self.Name], now) {
			names = append(names, self.Name)
		}
	}
	return names
}

func TestTwoRoutersReadAtEveryFleetSize(t *testing.T) {
	g := NewWithT(t)
	for _, n := range []int{2, 6, 76, 345} {
		g.Expect(storeReaders(fleet(n, 500*time.Millisecond), nil)).To(HaveLen(2))
	}
	g.Expect(storeReaders(fleet(1, 500*time.Millisecond), nil)).To(HaveLen(1))
}

func TestRouterReadsWhenNoAnswerIsFresh(t *testing.T) {
	g := NewWithT(t)
	g.Expect(storeReaders(fleet(6, 3*time.Second), nil)).To(HaveLen(6))
	self := storereader.Router{Name: "alone", ReachedAt: now.Add(-3 * time.Second)}
	g.Expect(storereader.ShouldRead(self, nil, false, now)).To(BeTrue())
}

func TestOthersReplaceReadersThatTheStoreRefuses(t *testing.T) {
	g := NewWithT(t)
	all := fleet(6, 500*time.Millisecond)
	initial := storeReaders(all, nil)
	for i := range all {
		if all[i].Name == initial[0] || all[i].Name == initial[1] {
			all[i].ReadsStore, all[i].ReachedAt = true, now.Add(-3*time.Second)
		}
	}
	var replacements []string
	for _, name := range storeReaders(all, map[string]bool{initial[0]: true, initial[1]: true}) {
		if name != initial[0] && name != initial[1] {
			replacements = append(replacements, name)
		}
	}
	g.Expect(replacements).To(HaveLen(2))
}
