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

func TestAPauseEndsWhenTheServerSaid(t *testing.T) {
	g := NewWithT(t)
	table := availability.New()
	g.Expect(table.NextAt("e1", at(0))).To(Equal(at(0)))
	g.Expect(table.ObservePause("e1", at(4), at(0))).To(BeTrue())
	g.Expect(table.ObservePause("e1", at(3), at(1))).To(BeFalse(), "a shorter one ends nothing")
	g.Expect(table.NextAt("e1", at(1))).To(Equal(at(4)))
	g.Expect(table.NextAt("e2", at(1))).To(Equal(at(1)))
	g.Expect(table.NextAt("e1", at(4))).To(Equal(at(4)))
	g.Expect(table.NextAt("e1", at(9))).To(Equal(at(9)))
	g.Expect(table.ObservePause("e1", at(8), at(9))).To(BeFalse(), "it is over")
	table.ObserveLeaving("e1", at(9))
	g.Expect(table.NextAt("e1", at(9))).To(BeZero())
}

func TestNoAnswerPausesAServerForEver(t *testing.T) {
	g := NewWithT(t)
	table := availability.New()
	table.ObservePause("e1", at(1e9), at(0))
	g.Expect(table.NextAt("e1", at(0))).To(Equal(at(300)))
	table.ObservePause("e1", at(1e9), at(10))
	g.Expect(table.NextAt("e1", at(10))).To(Equal(at(310)))
}
