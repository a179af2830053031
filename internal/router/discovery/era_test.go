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

// The first call after an outage was once a watch that waited in the new history for changes
// after the lost revision.
func TestTheFirstCallAfterAnOutageShowsAtOnceThatTheStoreWasRestored(t *testing.T) {
	runFollower(t, func(f *fixture) {
		f.store.copy()
		f.store.put("servers/c", "ready")
		f.store.put("servers/d", "ready")
		time.Sleep(maxChangeTime)
		f.store.update(func() { f.store.unreachable = true })
		time.Sleep(maxChangeTime)
		f.store.restore()
		f.store.put("servers/c", "ready")
		f.store.put("config", "two") // at the lost revision
		f.store.calls()
		f.store.update(func() { f.store.unreachable = false })
		for ranges, watches := 0, 0; ranges+watches == 0; ranges, watches = f.store.calls() {
			time.Sleep(time.Millisecond)
		}
		time.Sleep(100 * time.Millisecond)
		f.Expect(f.currentConfig()).To(Equal("two"))
	})
}
