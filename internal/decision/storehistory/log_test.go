package storehistory_test

import (
	"testing"

	. "github.com/onsi/gomega"

	"wisteriafield/internal/decision/storehistory"
)

func at(era, revision int64) storehistory.Position {
	return storehistory.Position{Era: era, Revision: revision}
}

func TestChangesLeadAcrossARestoreOnlyFromAListThatTheLogHad(t *testing.T) {
	g := NewWithT(t)
	l := storehistory.NewLog[string](4)
	l.Reset(at(1, 30))
	l.Advance(at(1, 34))
	l.Append(at(1, 34), "lost")
	l.Advance(at(2, 20))
	l.Append(at(2, 20), "differences")
	values, complete := l.Since(at(1, 30))
	g.Expect(complete).To(BeTrue())
	g.Expect(values).To(Equal([]string{"lost", "differences"}))
	values, complete = l.Since(at(1, 34))
	g.Expect(complete).To(BeTrue())
	g.Expect(values).To(Equal([]string{"differences"}))
	_, complete = l.Since(at(1, 35))
	g.Expect(complete).To(BeFalse(), "a change that this list never had may have been lost")

	l.Advance(at(3, 10))
	l.Append(at(3, 10), "again")
	_, complete = l.Since(at(1, 34))
	g.Expect(complete).To(BeFalse(), "two eras before")
	values, complete = l.Since(at(2, 20))
	g.Expect(complete).To(BeTrue())
	g.Expect(values).To(Equal([]string{"again"}))
	_, complete = l.Since(at(2, 21))
	g.Expect(complete).To(BeFalse())
	values, complete = l.Since(at(3, 10))
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
	_, complete := l.Since(at(1, 1))
	g.Expect(complete).To(BeFalse())
	values, complete := l.Since(at(1, 2))
	g.Expect(complete).To(BeTrue())
	g.Expect(values).To(Equal([]int{1, 2}))
	_, complete = l.Since(storehistory.Position{})
	g.Expect(complete).To(BeFalse())
}
