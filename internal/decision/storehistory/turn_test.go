package storehistory_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"wisteriafield/internal/decision/storehistory"
)

func TestFewRoutersOfAFleetWriteAgainWhatTheStoreLost(t *testing.T) {
	const (
		noticeSpread = time.Second            // until all routers know of the restore
		writeTime    = 200 * time.Millisecond // until others find what a router writes
	)
	for _, routers := range []int{6, 195, 1000} {
		t.Run(fmt.Sprint(routers), func(t *testing.T) {
			g := NewWithT(t)
			random := rand.New(rand.NewPCG(1, uint64(routers)))
			restored := time.Unix(0, 0)
			for range 200 {
				turns := make([]time.Time, routers)
				written := restored.Add(time.Hour)
				for rank := range turns {
					turns[rank] = storehistory.Turn(restored.Add(time.Duration(random.Int64N(int64(noticeSpread)))), rank)
					if end := turns[rank].Add(writeTime); end.Before(written) {
						written = end
					}
				}
				writers := 0
				for _, turn := range turns {
					if turn.Before(written) {
						writers++
					}
				}
				g.Expect(writers).To(BeNumerically("<=", 4))
				g.Expect(written.Sub(restored)).To(BeNumerically("<=", 2*time.Second))
			}
		})
	}
}
