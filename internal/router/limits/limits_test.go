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
	"wisteriafield/internal/platform/hosts"
	"wisteriafield/internal/router/control"
	"wisteriafield/internal/router/limits"
	"wisteriafield/internal/router/members"
)

// lone returns the limits of a router without peers, which is home of all.
func lone(o *document.Organisation) *limits.Limiter {
	list := hosts.New(hosts.Config{})
	m := members.New(hosts.Host{Name: "one", Kind: hosts.Router, State: hosts.Live}, list)
	view := document.NewView(&document.Document{Organisations: []document.Organisation{*o}}, 1, "")
	return limits.New(m, control.NewClient(""), control.NewServer(), func() *document.View { return view })
}

// distant is a peer whose answers take a while.
type distant struct{ home *control.Server }

func (d distant) Call(ctx context.Context, _, method string, params, result any) error {
	time.Sleep(10 * time.Millisecond)
	return d.home.Call(ctx, method, params, result)
}

// entries returns the limits of entries whose organisations have their home on
// another router.
func entries(n int, o *document.Organisation) []*limits.Limiter {
	home := control.NewServer()
	self := hosts.Host{Name: "home", Kind: hosts.Router, State: hosts.Live}
	view := document.NewView(&document.Document{Organisations: []document.Organisation{*o}}, 1, "")
	viewOf := func() *document.View { return view }
	limits.New(members.New(self, hosts.New(hosts.Config{})), nil, home, viewOf)

	list := hosts.New(hosts.Config{})
	list.Merge(hosts.Changes{Hosts: []hosts.Host{self}})
	var all []*limits.Limiter
	for i := range n {
		m := members.New(hosts.Host{Name: fmt.Sprintf("entry-%d", i), Kind: hosts.Router, State: hosts.Live}, list)
		m.Stop() // it is home of nothing then
		all = append(all, limits.New(m, distant{home}, control.NewServer(), viewOf))
	}
	return all
}

func TestManyRequestsAtOnceWithinTheLimitAllPass(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		o := &document.Organisation{Name: "a", TokensPerSecond: 1000, InFlight: 100}
		all := entries(4, o)
		var wg sync.WaitGroup
		verdicts := make([]limits.Decision, 32)
		for i := range verdicts {
			wg.Add(1)
			go func() {
				defer wg.Done()
				verdicts[i] = all[i%len(all)].Acquire(context.Background(), o, 100)
			}()
		}
		wg.Wait()
		for _, v := range verdicts {
			NewWithT(t).Expect(v.Allowed).To(BeTrue(), "3200 tokens are within the burst of 4000")
		}
	})
}

func TestRequestsInFlightAreBounded(t *testing.T) {
	g := NewWithT(t)
	o := &document.Organisation{Name: "a", TokensPerSecond: 1e6, InFlight: 5}
	l := lone(o)
	for range 5 {
		g.Expect(l.Acquire(context.Background(), o, 1).Allowed).To(BeTrue())
	}
	g.Expect(l.Acquire(context.Background(), o, 1).Cause).To(Equal("InFlight"))
	l.Release(o, 0)
	g.Expect(l.Acquire(context.Background(), o, 1).Allowed).To(BeTrue())
}

func TestARateIsKept(t *testing.T) {
	g := NewWithT(t)
	o := &document.Organisation{Name: "a", TokensPerSecond: 10, InFlight: 1000}
	l := lone(o)
	passed := 0
	for range 100 {
		if l.Acquire(context.Background(), o, 10).Allowed {
			passed++
		}
	}
	g.Expect(passed).To(BeNumerically("~", 4, 1), "the burst is 4 s of the rate")
}
