package placing_test

import (
	"slices"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"wisteriafield/internal/decision/enginetable"
)

// Each router used to check a domain after a loss there, so an engine was probed by all of them. An engine
// that none checks stays in use.
func TestEachEngineOfALostDomainIsCheckedOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t)
		time.Sleep(4 * time.Second)
		for name, p := range f.routers {
			f.Expect(p.ReportLoss(&f.servers[name].Get("i-003").Server)).To(BeTrue())
		}
		time.Sleep(100 * time.Millisecond)
		var checked []string
		for _, engines := range f.checkedBy() {
			checked = append(checked, engines...)
		}
		slices.Sort(checked)
		f.Expect(checked).To(HaveLen(16))
		f.Expect(slices.Compact(checked)).To(HaveLen(16))
	})
}

// The word of one router, which may be cut off, must not take an engine from all; that of an
// owner that has checked it reaches those who use it.
func TestAnOwnerTellsTheRoutersThatUseAnEngineThatItIsDown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t)
		time.Sleep(4 * time.Second)
		engine := enginetable.Key(f.servers["r-0"].Get("i-003").Key())
		f.routers["r-1"].Begin(enginetable.Attempt{Engine: engine, UsedTokens: 1}, enginetable.Offer{})
		f.routers["r-2"].Begin(enginetable.Attempt{Engine: engine, UsedTokens: 1, Backup: true}, enginetable.Offer{})
		time.Sleep(10 * time.Millisecond)
		for _, reporter := range []string{"r-1", "r-2"} { // one of them may be the owner
			f.routers[reporter].ReportDown(&f.servers[reporter].Get("i-003").Server, time.Now().Add(2*time.Second))
		}
		time.Sleep(10 * time.Millisecond)
		checked := f.checkedBy()
		f.Expect(checked).To(HaveLen(1))
		for owner := range checked {
			f.routers[owner].ReportDown(&f.servers[owner].Get("i-003").Server, time.Now().Add(2*time.Second))
			time.Sleep(10 * time.Millisecond)
			for name, servers := range f.servers {
				uses := name != owner && (name == "r-1" || name == "r-2")
				f.Expect(servers.Get("i-003").Load.State(time.Now()).Down).To(Equal(uses), name)
				f.Expect(len(f.checks[name].told) > 0).To(Equal(uses), name)
			}
		}
	})
}

// An owner that hears that an engine is down offers others until it is known.
func TestAnEngineReportedAsDownIsNotOffered(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t)
		time.Sleep(4 * time.Second)
		offers, _, _ := f.ask("r-0")
		reported := offers[0].Engine
		for name := range f.routers {
			f.routers[name].ReportDown(&f.servers[name].Get(reported.ID).Server, time.Now().Add(2*time.Second))
		}
		time.Sleep(200 * time.Millisecond)
		for range 20 {
			offers, _, _ = f.ask("r-0")
			for _, o := range offers {
				f.Expect(o.Engine).NotTo(Equal(reported))
			}
		}
	})
}
