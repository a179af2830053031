package drain_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"wisteriafield/internal/decision/drain"
)

func TestRequestFitsIfItFinishesBeforeTheProcess(t *testing.T) {
	g := NewWithT(t)
	for _, c := range []struct {
		left           time.Duration
		prompt, output int
		want           bool
	}{
		{7700 * time.Millisecond, 5000, 1020, true},
		{6 * time.Second, 5000, 1020, false},
		{6 * time.Second, 3000, 300, true},
		{0, 0, 0, false},
	} {
		g.Expect(drain.FitsGeneration(c.left, c.prompt, c.output)).To(Equal(c.want))
	}
	g.Expect(drain.FitsCall(3*time.Second, 1500*time.Millisecond)).To(BeTrue())
	g.Expect(drain.FitsCall(30*time.Millisecond, 1500*time.Millisecond)).To(BeFalse())
}
