package discovery_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"wisteriafield/internal/decision/storehistory"
	"wisteriafield/internal/decision/storereader"
	"wisteriafield/internal/router/discovery"
	"wisteriafield/platform/kv"
)

// Routers once sent requests to servers that had left before the store went back.
func TestARemovedServerThatComesBackWithAnOlderCopyIsNotUsed(t *testing.T) {
	runFollower(t, func(f *fixture) {
		f.store.copy()
		f.store.remove("servers/a")
		time.Sleep(maxChangeTime)
		f.Expect(f.activeServers()).To(ConsistOf("b"))
		for range 2 {
			f.store.restore()
			f.store.put("servers/c", "ready")
			time.Sleep(1500 * time.Millisecond)
			f.Expect(f.activeServers()).To(ConsistOf("b", "c"))
		}
		f.store.remove("servers/a")
		time.Sleep(maxChangeTime)
		f.Expect(f.activeServers()).To(ConsistOf("b", "c"))
	})
}

func TestARemovedServerThatIsAliveAfterARestoreIsUsedAgain(t *testing.T) {
	for name, writes := range map[string]bool{"it writes again": true, "its entry did not change": false} {
		t.Run(name, func(t *testing.T) {
			runFollower(t, func(f *fixture) {
				f.store.copy()
				f.store.remove("servers/a")
				time.Sleep(maxChangeTime)
				f.store.restore()
				time.Sleep(1200 * time.Millisecond)
				f.Expect(f.activeServers()).To(ConsistOf("b"))
				if writes {
					f.store.put("servers/a", "ready")
					time.Sleep(400 * time.Millisecond)
				} else {
					time.Sleep(maxChangeTime)
				}
				f.Expect(f.activeServers()).To(ConsistOf("a", "b"))
			})
		})
	}
}

func TestARouterThatDoesNotReadTheStoreDoesNotUseARemovedServerThatComesBack(t *testing.T) {
	for _, full := range []bool{true, false} {
		runFollower(t, func(f *fixture) {
			f.store.remove("servers/a")
			time.Sleep(maxChangeTime)
			f.decide(storereader.Decision{Role: storereader.Idle})
			time.Sleep(maxChangeTime)
			applied := f.follower.Position()
			restored := storehistory.Position{Era: applied.Era + 1, Revision: applied.Revision - 1}
			f.follower.ApplyServerList(applied, discovery.ServerList{At: restored, Full: full, Values: []kv.Value{
				{Key: "servers/a", Body: []byte("ready"), Era: restored.Era, Revision: restored.Revision},
				{Key: "servers/b", Body: []byte("ready"), Era: restored.Era, Revision: restored.Revision},
			}}, "peer")
			time.Sleep(maxChangeTime)
			f.Expect(f.activeServers()).To(ConsistOf("b"))
			time.Sleep(time.Second)
			f.Expect(f.activeServers()).To(ConsistOf("a", "b"), "the store still has it")
		})
	}
}
