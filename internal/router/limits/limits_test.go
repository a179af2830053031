package limits_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"wisteriafield/internal/config/document"
	"wisteriafield/internal/decision/storehistory"
	"wisteriafield/internal/platform/hosts"
	"wisteriafield/internal/router/control"
	"wisteriafield/internal/router/limits"
	"wisteriafield/internal/router/members"
)

// newSingle returns the limiter of a router without peers, which owns every
// organisation.
func newSingle(o *document.Organisation) *limits.Limiter {
	list := hosts.New(hosts.Config{})
	m := members.New(hosts.Host{Name: "one", Kind: hosts.Router, State: hosts.Live}, list)
	view := document.NewView(&document.Document{Organisations: []document.Organisation{*o}}, storehistory.Position{Revision: 1}, "")
	return limits.New(m, control.NewClient(""), control.NewServer(), func() *document.View { return view })
}

// delayedCaller reaches the owner with a round trip of 10 ms.
type delayedCaller struct{ owner *control.Server }

func (d delayedCaller) Call(ctx context.Context, _, method string, params, result any) error {
	time.Sleep(10 * time.Millisecond)
	return d.owner.Call(ctx, method, params, result)
}

// newEntries returns the limiters of n entries, with another router as the owner
// of every organisation.
func newEntries(n int, o *document.Organisation) []*limits.Limiter {
	owner := control.NewServer()
	self := hosts.Host{Name: "home", Kind: hosts.Router, State: hosts.Live}
	view := document.NewView(&document.Document{Organisations: []document.Organisation{*o}}, storehistory.Position{Revision: 1}, "")
	getView := func() *document.View { return view }
	limits.New(members.New(self, hosts.New(hosts.Config{})), nil, owner, getView)

	list := hosts.New(hosts.Config{})
	list.Merge(hosts.Changes{Hosts: []hosts.Host{self}})
	var limiters []*limits.Limiter
	for i := range n {
		m := members.New(hosts.Host{Name: fmt.Sprintf("entry-%d", i), Kind: hosts.Router, State: hosts.Live}, list)
		m.Stop() // a stopping router owns nothing
		limiters = append(limiters, limits.New(m, delayedCaller{owner}, control.NewServer(), getView))
	}
	return limiters
}

func TestConcurrentRequestsWithinTheLimitAreAllowed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		o := &document.Organisation{Name: "a", TokensPerSecond: 1000, InFlight: 100}
		limiters := newEntries(4, o)
		var wg sync.WaitGroup
		decisions := make([]limits.Decision, 32)
		for i := range decisions {
			wg.Add(1)
			go func() {
				defer wg.Done()
				decisions[i] = limiters[i%len(limiters)].Acquire(context.Background(), o, 100)
			}()
		}
		wg.Wait()
		for _, d := range decisions {
			NewWithT(t).Expect(d.Allowed).To(BeTrue(), "3200 tokens are within the burst of 4000")
		}
	})
}

func TestInFlightLimit(t *testing.T) {
	g := NewWithT(t)
	o := &document.Organisation{Name: "a", TokensPerSecond: 1e6, InFlight: 5}
	l := newSingle(o)
	for range 5 {
		g.Expect(l.Acquire(context.Background(), o, 1).Allowed).To(BeTrue())
	}
	g.Expect(l.Acquire(context.Background(), o, 1).Cause).To(Equal("InFlight"))
	l.Release(o, 0)
	g.Expect(l.Acquire(context.Background(), o, 1).Allowed).To(BeTrue())
}

func TestTokenRateLimit(t *testing.T) {
	g := NewWithT(t)
	o := &document.Organisation{Name: "a", TokensPerSecond: 10, InFlight: 1000}
	l := newSingle(o)
	allowed := 0
	for range 100 {
		if l.Acquire(context.Background(), o, 10).Allowed {
			allowed++
		}
	}
	g.Expect(allowed).To(BeNumerically("~", 4, 1), "the burst is 4 s of the rate")
}

// A request that was refused for its number in flight once kept the tokens that it had
// spent from the entry's allowance.
func TestARefusedRequestGivesItsTokensBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		o := &document.Organisation{Name: "a", TokensPerSecond: 100, InFlight: 2}
		l := newEntries(1, o)[0]
		// The first request takes all but 10 tokens of the burst, its entry the rest.
		g.Expect(l.Acquire(context.Background(), o, 390).Allowed).To(BeTrue())
		g.Expect(l.Acquire(context.Background(), o, 0).Allowed).To(BeTrue())
		g.Expect(l.Acquire(context.Background(), o, 10).Cause).To(Equal("InFlight"))
		l.Release(o, 0)
		g.Expect(l.Acquire(context.Background(), o, 10)).To(Equal(limits.Decision{Allowed: true}))
	})
}

// An owner with an older configuration does not know a new organisation. Its requests were
// once refused as too many in flight.
func TestAnOwnerThatDoesNotKnowTheOrganisationDoesNotRefuseIt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		l := newEntries(1, &document.Organisation{Name: "a", TokensPerSecond: 1000, InFlight: 2})[0]
		newcomer := &document.Organisation{Name: "b", TokensPerSecond: 1000, InFlight: 2}
		g.Expect(l.Acquire(context.Background(), newcomer, 10)).To(Equal(limits.Decision{Allowed: true}))
	})
}
