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

// reading returns who reads, each router seeing all others.
func reading(all []storereader.Router, lost map[string]bool) []string {
	var names []string
	for i, self := range all {
		peers := append(append([]storereader.Router{}, all[:i]...), all[i+1:]...)
		if storereader.ShouldRead(self, peers, lost[self.Name], now) {
			names = append(names, self.Name)
		}
	}
	return names
}

func TestTwoReadForAllHoweverManyThereAre(t *testing.T) {
	g := NewWithT(t)
	for _, n := range []int{2, 6, 76, 345} {
		g.Expect(reading(fleet(n, 500*time.Millisecond), nil)).To(HaveLen(2))
	}
	g.Expect(reading(fleet(1, 500*time.Millisecond), nil)).To(HaveLen(1))
}

func TestARouterThatHearsNothingNewReadsForItself(t *testing.T) {
	g := NewWithT(t)
	g.Expect(reading(fleet(6, 3*time.Second), nil)).To(HaveLen(6))
	self := storereader.Router{Name: "alone", ReachedAt: now.Add(-3 * time.Second)}
	g.Expect(storereader.ShouldRead(self, nil, false, now)).To(BeTrue())
}

func TestOthersTakeOverFromReadersThatTheStoreTurnsAway(t *testing.T) {
	g := NewWithT(t)
	all := fleet(6, 500*time.Millisecond)
	first := reading(all, nil)
	for i := range all {
		if all[i].Name == first[0] || all[i].Name == first[1] {
			all[i].ReadsStore, all[i].ReachedAt = true, now.Add(-3*time.Second)
		}
	}
	var others []string
	for _, name := range reading(all, map[string]bool{first[0]: true, first[1]: true}) {
		if name != first[0] && name != first[1] {
			others = append(others, name)
		}
	}
	g.Expect(others).To(HaveLen(2))
}
