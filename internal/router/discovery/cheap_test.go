package discovery_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"wisteriafield/internal/decision/storereader"
)

// In an outage each router of a fleet tries once, so the try has to cost little.
func TestATryThatShouldBeCheapCallsTheStoreOnlyOnceIfItIsAway(t *testing.T) {
	runFollower(t, func(f *fixture) {
		f.decide(storereader.Decision{Role: storereader.Idle})
		time.Sleep(3 * time.Second)
		f.store.update(func() { f.store.unreachable = true })
		f.store.calls()
		f.decide(storereader.Decision{Role: storereader.Trial, CheapFirst: true})
		time.Sleep(300 * time.Millisecond)
		ranges, watches := f.store.calls()
		f.Expect(watches).To(BeZero())
		f.Expect(ranges).To(Equal(1))
		f.Expect(f.follower.Failing()).To(BeTrue())
	})
}

func TestATryThatShouldBeCheapReadsTheStoreIfItAnswers(t *testing.T) {
	runFollower(t, func(f *fixture) {
		f.decide(storereader.Decision{Role: storereader.Idle})
		time.Sleep(3 * time.Second)
		f.store.put("config", "two")
		f.decide(storereader.Decision{Role: storereader.Trial, CheapFirst: true})
		time.Sleep(300 * time.Millisecond)
		f.Expect(f.currentConfig()).To(Equal("two"))
		f.Expect(f.follower.Failing()).To(BeFalse())
	})
}
