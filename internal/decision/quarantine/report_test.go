package quarantine_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"wisteriafield/internal/decision/quarantine"
)

func TestPeersLearnOfAllBlocksWhenTheyDoNotFitInOneMessage(t *testing.T) {
	for _, c := range []struct{ deadly, ordinary, perMessage int }{
		{2, 0, 16}, {2, 40, 16}, {3, 40, 16}, {6, 0, 16}, {6, 40, 16}, {16, 0, 8}, {1, 40, 4}, {2, 40, 4}, {4, 0, 4},
	} {
		t.Run(fmt.Sprint(c), func(t *testing.T) {
			g := NewWithT(t)
			knows, learns := quarantine.New(start.Add(-time.Minute), 3*time.Second), quarantine.New(start.Add(-time.Minute), 3*time.Second)
			for i := range 3 {
				for j := range c.deadly {
					name := fmt.Sprintf("e%d-%d", i, j)
					knows.RecordCrash(crash(name, fmt.Sprintf("deadly%d", j), float64(i)/10, fmt.Sprintf("doc%d", j)), at(0.3))
				}
			}
			for i := range c.ordinary {
				knows.RecordCrash(crash(fmt.Sprintf("o%d", i), fmt.Sprintf("s%d", i), 0.3, fmt.Sprintf("own%d", i)), at(0.3))
			}
			g.Expect(knows.Blocks(at(0.3))).To(HaveLen(c.deadly))
			for round := range 12 {
				now := at(0.4 + float64(round)/4)
				learns.Merge(knows.Report(c.perMessage, round%8 == 1, now), now)
			}
			g.Expect(learns.Blocks(at(3.3))).To(HaveLen(c.deadly))
		})
	}
}
