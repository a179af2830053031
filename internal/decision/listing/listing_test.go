package listing_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"wisteriafield/internal/decision/listing"
)

// listed returns how many of n routers list themselves if each knows those others that
// known allows.
func listed(n int, known func(self, other int) bool) int {
	count := 0
	for i := range n {
		var peers []string
		for j := range n {
			if j != i && known(i, j) {
				peers = append(peers, fmt.Sprint("router-", j))
			}
		}
		if listing.ShouldList(fmt.Sprint("router-", i), peers) {
			count++
		}
	}
	return count
}

func TestAFewRoutersListThemselvesAtEveryFleetSize(t *testing.T) {
	g := NewWithT(t)
	all := func(int, int) bool { return true }
	for n, want := range map[int]int{1: 1, 6: 6, 16: 16, 76: 16, 195: 16, 1000: 16} {
		g.Expect(listed(n, all)).To(Equal(want), "%d routers", n)
	}
}

func TestRoutersThatKnowNoOneListThemselves(t *testing.T) {
	g := NewWithT(t)
	g.Expect(listed(195, func(int, int) bool { return false })).To(Equal(195))
}

// After the loss of all listed routers the others take their places.
func TestOthersReplaceTheLostOnes(t *testing.T) {
	g := NewWithT(t)
	lost := make(map[int]bool)
	for i := range 195 {
		var peers []string
		for j := range 195 {
			if j != i {
				peers = append(peers, fmt.Sprint("router-", j))
			}
		}
		lost[i] = listing.ShouldList(fmt.Sprint("router-", i), peers)
	}
	g.Expect(listed(195, func(i, j int) bool { return !lost[j] })).To(BeNumerically(">=", 16))
}

func TestRoutersListThemselvesAgainInTurnAndWithinFourSeconds(t *testing.T) {
	g := NewWithT(t)
	for _, n := range []int{1, 6, 76, 195, 1000} {
		turns := make(map[time.Duration]bool)
		count := 0
		for i := range n {
			var peers []string
			for j := range n {
				if j != i {
					peers = append(peers, fmt.Sprint("router-", j))
				}
			}
			if self := fmt.Sprint("router-", i); listing.ShouldList(self, peers) {
				count++
				turns[listing.Turn(self, peers)] = true
				g.Expect(listing.Turn(self, peers)).To(BeNumerically("<", 4*time.Second))
			}
		}
		g.Expect(turns).To(HaveLen(count), "%d routers: no two at once", n)
	}
}
