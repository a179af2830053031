package edgesoak

import (
	"bytes"
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"syscall"
	"time"

	"wisteriafield/internal/base/loop"
	"wisteriafield/internal/standin/link"
)

// fault is a kind of fault. Planned faults, such as a graceful stop, must not disturb
// callers.
type fault struct {
	name    string
	planned bool
	inject  func(s *soak, r *rand.Rand) (heal func()) // heal ends the fault
}

func pick[T any](all []T, r *rand.Rand) T { return all[r.IntN(len(all))] }

// orderStoreFault sends a fault order to the stand-in store and returns a function that
// sends the order which ends the fault.
func (s *soak) orderStoreFault(order, heal string) func() {
	send := func(body string) {
		if res, err := probeClient.Post("http://"+s.storeAddress+"/faults", "application/json", bytes.NewBufferString(body)); err == nil {
			_ = res.Body.Close()
		}
	}
	end := s.storeFaults.begin()
	send(order)
	return func() {
		send(heal)
		end()
	}
}

// orderStore lets the stand-in store make a copy of itself or go back to it.
func (s *soak) orderStore(order string) {
	if res, err := probeClient.Post("http://"+s.storeAddress+"/v1/"+order, "", nil); err == nil {
		_ = res.Body.Close()
	}
}

// breakLink injects a random fault into a link and returns a function that ends it.
func breakLink(l *link.Link, r *rand.Rand) func() {
	switch r.IntN(4) {
	case 0:
		l.Cut()
	case 1:
		l.Silence()
	case 2:
		l.DropResponses(true)
	default:
		l.SetDelay(time.Duration(50+r.IntN(400)) * time.Millisecond)
	}
	return l.Restore
}

// during returns a heal function that ends a span too.
func during(end, heal func()) func() {
	return func() {
		heal()
		end()
	}
}

// killRouters kills routers and returns a function that restarts them.
func (s *soak) killRouters(targets []*router) func() {
	var ends []func()
	for _, target := range targets {
		ends = append(ends, target.faults.begin())
		target.Kill()
	}
	return func() {
		for i, target := range targets {
			s.restartRouter(target)
			ends[i]()
		}
	}
}

var faults = []fault{
	{"router killed", false, func(s *soak, r *rand.Rand) func() { return s.killRouters([]*router{pick(s.routers, r)}) }},
	{"all routers killed", false, func(s *soak, _ *rand.Rand) func() { return s.killRouters(s.routers) }},
	{"router paused", false, func(s *soak, r *rand.Rand) func() {
		target := pick(s.routers, r)
		p := target.process()
		end := target.faults.begin()
		p.Pause()
		return during(end, p.Continue)
	}},
	{"router stopped", true, func(s *soak, r *rand.Rand) func() { return s.stopRouter(pick(s.routers, r)) }},
	{"router gets SIGHUP", true, hangUp},
	{"link to the store", false, func(s *soak, r *rand.Rand) func() {
		target := pick(s.routers, r)
		return during(target.faults.begin(), breakLink(target.storeLink, r))
	}},
	{"link to a server", false, func(s *soak, r *rand.Rand) func() {
		b := pick(s.backends, r)
		return during(b.delays.begin(), breakLink(b.link, r))
	}},
	{"link from callers", false, func(s *soak, r *rand.Rand) func() {
		target := pick(s.routers, r)
		return during(target.faults.begin(), breakLink(target.callerLink, r))
	}},
	{"server killed", false, func(s *soak, r *rand.Rand) func() {
		b := pick(s.backends, r)
		b.Kill()
		return func() { s.restartBackend(b) }
	}},
	{"a failure domain's engines killed", false, func(s *soak, r *rand.Rand) func() {
		domain := pick(domains, r)
		var killed []*backend
		for _, b := range s.backends {
			if b.domain == domain && b.service == engineService {
				b.Kill()
				killed = append(killed, b)
			}
		}
		return func() {
			for _, b := range killed {
				s.restartBackend(b)
			}
		}
	}},
	{"server paused", false, func(s *soak, r *rand.Rand) func() {
		b := pick(s.backends, r)
		p := b.process()
		end := b.delays.begin()
		p.Pause()
		return during(end, p.Continue)
	}},
	{"sound server silent", true, func(s *soak, r *rand.Rand) func() { return s.silence(pick(s.backends, r), r, minSilence) }},
	{"server leaves", true, func(s *soak, r *rand.Rand) func() { return s.leave(pick(s.backends, r), grace) }},
	{"store out", false, func(s *soak, _ *rand.Rand) func() { return s.orderStoreFault(`{"Outage":true}`, `{"Outage":false}`) }},
	{"store slow", false, func(s *soak, _ *rand.Rand) func() {
		return s.orderStoreFault(`{"DelayMillis":300}`, `{"DelayMillis":0}`)
	}},
	{"store loses answers", false, func(s *soak, r *rand.Rand) func() {
		return s.orderStoreFault(fmt.Sprintf(`{"LoseAnswers":%d}`, 1+r.IntN(5)), `{"LoseAnswers":0}`)
	}},
	{"store restored", false, func(s *soak, _ *rand.Rand) func() {
		end := s.storeFaults.begin()
		s.orderStore("copy")
		return func() {
			defer end()
			s.orderStore("restore")
			// The operator writes again what the store lost, as the servers do.
			ctx, cancel := context.WithTimeout(context.Background(), disturbanceTimeout)
			defer cancel()
			_ = s.ensureConfig(ctx, s.version.Load())
		}
	}},
	{"store's connections silent", false, func(s *soak, _ *rand.Rand) func() {
		return s.orderStoreFault(`{"Silence":true}`, `{}`)
	}},
	mostRoutersKilled,
}

// mostRoutersKilled leaves one router, the only one that knows what the fleet has learned.
var mostRoutersKilled = fault{"all routers but one killed", false, func(s *soak, r *rand.Rand) func() {
	kept := r.IntN(len(s.routers))
	return s.killRouters(slices.Delete(slices.Clone(s.routers), kept, kept+1))
}}

// hangUp lets a router read its settings again.
func hangUp(s *soak, r *rand.Rand) func() {
	_ = syscall.Kill(pick(s.routers, r).PID(), syscall.SIGHUP)
	return func() {}
}

// In the last plannedOnlyPeriod of each faultCycle only planned faults are injected, so
// that time limits can be checked.
const (
	faultCycle        = 16 * time.Second
	plannedOnlyPeriod = 8 * time.Second
)

// injectFault injects one random fault, unless it is time for planned faults only, and
// waits.
func (s *soak) injectFault(ctx context.Context, r *rand.Rand) {
	f := pick(faults, r)
	if time.Since(s.startedAt)%faultCycle > faultCycle-plannedOnlyPeriod && !f.planned {
		loop.Sleep(ctx, plannedOnlyPeriod/16)
		return
	}
	s.injectOne(ctx, r, f)
	loop.Sleep(ctx, time.Duration(r.IntN(3000))*time.Millisecond)
}

// injectOne injects a fault, waits, and ends it.
func (s *soak) injectOne(ctx context.Context, r *rand.Rand, f fault) {
	if s.Verbose {
		fmt.Printf("%s %s\n", time.Now().Format("15:04:05.000"), f.name)
	}
	s.count("fault: " + f.name)
	s.updateDisturbance(f, 1)
	heal := f.inject(s, r)
	loop.Sleep(ctx, time.Duration(300+r.IntN(3500))*time.Millisecond)
	heal()
	s.updateDisturbance(f, -1)
}

// updateDisturbance records that an unplanned fault began or ended.
func (s *soak) updateDisturbance(f fault, change int) {
	if f.planned {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.activeFaults += change
	s.disturbedUntil = time.Now().Add(disturbanceTimeout)
}

// restartRouter starts a router that has ended, unless another series of faults has
// done so.
func (s *soak) restartRouter(r *router) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if r.Running() {
		return
	}
	if err := s.startRouter(r); err != nil {
		fmt.Fprintln(os.Stderr, "restart failed:", err)
	}
}

// restartBackend starts a backend server that has ended, as restartRouter does.
func (s *soak) restartBackend(b *backend) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if b.Running() {
		return
	}
	if err := s.startBackend(b); err != nil {
		fmt.Fprintln(os.Stderr, "restart failed:", err)
	}
}
