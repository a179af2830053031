package storehistory_test

import (
	"testing"

	. "github.com/onsi/gomega"

	"wisteriafield/internal/decision/storehistory"
)

func at(era, revision int64) storehistory.Position {
	return storehistory.Position{Era: era, Revision: revision}
}

// A key that was lost in the restore and written again with the same value is no difference of
// the lists before and after, but a change to a router that has read the new history meanwhile.
func TestDifferencesLeadOnlyFromTheListThatWasReplaced(t *testing.T) {
	g := NewWithT(t)
	l := storehistory.NewLog[string](4)
	l.Reset(at(1, 30))
	l.Advance(at(1, 34))
	l.Append(at(1, 34), "lost")
	gap := storehistory.Gap{From: at(1, 34), To: at(2, 20)}
	l.Skip(gap)
	l.Append(at(2, 20), "differences")
	values, passed, complete := l.Since(at(1, 30))
	g.Expect(complete).To(BeTrue())
	g.Expect(passed).To(Equal(gap))
	g.Expect(values).To(Equal([]string{"lost", "differences"}))
	values, _, complete = l.Since(at(1, 34))
	g.Expect(complete).To(BeTrue())
	g.Expect(values).To(Equal([]string{"differences"}))
	for _, p := range []storehistory.Position{at(1, 35), at(2, 3), at(2, 19)} {
		_, _, complete = l.Since(p)
		g.Expect(complete).To(BeFalse(), "%v", p)
	}
	_, passed, complete = l.Since(at(2, 20))
	g.Expect(complete).To(BeTrue())
	g.Expect(passed.IsZero()).To(BeTrue())

	l.Skip(storehistory.Gap{From: at(2, 20), To: at(3, 10)})
	l.Append(at(3, 10), "again")
	_, _, complete = l.Since(at(1, 34))
	g.Expect(complete).To(BeFalse(), "before the last gap but one")
	values, _, complete = l.Since(at(2, 20))
	g.Expect(complete).To(BeTrue())
	g.Expect(values).To(Equal([]string{"again"}))
	values, _, complete = l.Since(at(3, 10))
	g.Expect(complete).To(BeTrue())
	g.Expect(values).To(BeEmpty())
}

func TestALogThatIsTooShortIsNotComplete(t *testing.T) {
	g := NewWithT(t)
	l := storehistory.NewLog[int](2)
	l.Reset(at(1, 1))
	l.Advance(at(1, 4))
	for i := range 3 {
		l.Append(at(1, int64(2+i)), i)
	}
	_, _, complete := l.Since(at(1, 1))
	g.Expect(complete).To(BeFalse())
	values, _, complete := l.Since(at(1, 2))
	g.Expect(complete).To(BeTrue())
	g.Expect(values).To(Equal([]int{1, 2}))
	_, _, complete = l.Since(storehistory.Position{})
	g.Expect(complete).To(BeFalse())
}
