package availability_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"wisteriafield/internal/decision/availability"
)

func at(seconds float64) time.Time {
	return time.Unix(1_000, 0).Add(time.Duration(seconds * float64(time.Second)))
}

func TestAServerThatSaysItLeavesDoesNotComeBack(t *testing.T) {
	g := NewWithT(t)
	table := availability.New()
	g.Expect(table.Empty()).To(BeTrue())
	g.Expect(table.ObserveLeaving("i-1/5", at(0))).To(BeTrue())
	g.Expect(table.ObserveLeaving("i-1/5", at(1))).To(BeFalse(), "it is no news")
	g.Expect(table.Leaving("i-1/5")).To(BeTrue())
	g.Expect(table.Leaving("i-1/6")).To(BeFalse(), "another incarnation has not said so")
}

func TestATableOfServersIsBoundedAndKeepsTheNewest(t *testing.T) {
	g := NewWithT(t)
	table := availability.New()
	for i := range 3000 {
		table.ObserveLeaving(fmt.Sprint(i), at(float64(i)))
	}
	known := 0
	for i := range 3000 {
		if table.Leaving(fmt.Sprint(i)) {
			known++
		}
	}
	g.Expect(known).To(Equal(1024))
	g.Expect(table.Leaving("2999")).To(BeTrue())
}
