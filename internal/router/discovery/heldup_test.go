package discovery_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// A process may stand still between the store's answer to its watch and its reading it. Peers that had
// the same version once took its word that nothing was newer.
func TestAnAnswerThatWasHeldUpDoesNotConfirmWhatWasChangedMeanwhile(t *testing.T) {
	runFollower(t, func(f *fixture) {
		time.Sleep(500 * time.Millisecond)
		const heldUp = 3 * time.Second
		f.store.update(func() {
			f.store.beforeEvents = func() { time.Sleep(heldUp) }
		})
		f.store.put("config", "two")
		time.Sleep(heldUp / 2)
		f.store.put("config", "three")
		changed := time.Now()
		for f.currentConfig() != "two" {
			time.Sleep(time.Millisecond)
		}
		state := f.follower.State()
		f.Expect(state.ConfirmedAt).To(BeTemporally("<", changed))
		f.Expect(time.Since(state.ConfirmedAt)).To(BeNumerically(">", heldUp/2))
	})
}
