package discovery_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"wisteriafield/internal/decision/storereader"
)

// A reader once paused after changes although it had heard of a restore while it got them.
func TestAReaderThatHearsOfANewEraAsItsWatchEndsReadsAtOnce(t *testing.T) {
	runFollower(t, func(f *fixture) {
		f.decide(storereader.Decision{Role: storereader.Secondary})
		time.Sleep(maxChangeTime)
		f.store.update(func() {
			f.store.beforeEvents = func() {
				f.store.update(func() { f.store.beforeEvents = nil })
				f.store.copy()
				f.store.restore()
				f.store.put("config", "two")
				f.follower.ObserveEra(2)
				time.Sleep(time.Millisecond) // the answer was on its way
			}
		})
		f.store.put("servers/c", "ready")
		time.Sleep(200 * time.Millisecond)
		f.Expect(f.currentConfig()).To(Equal("two"))
	})
}
