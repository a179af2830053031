package edgesoak

import (
	"bytes"
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"syscall"
	"time"

	"wisteriafield/internal/base/loop"
	"wisteriafield/internal/standin/link"
)

// fault breaks something and returns how to heal it. Planned ones are no disturbance.
type fault struct {
	name    string
	planned bool
	do      func(s *soak, r *rand.Rand) (heal func())
}

func pick[T any](all []T, r *rand.Rand) T { return all[r.IntN(len(all))] }

// order gives the stand-in store an order.
func (s *soak) order(order, heal string) func() {
	send := func(body string) {
		if res, err := quick.Post("http://"+s.address+"/faults", "application/json", bytes.NewBufferString(body)); err == nil {
			_ = res.Body.Close()
		}
	}
	send(order)
	return func() { send(heal) }
}

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

var faults = []fault{
	{"router killed", false, func(s *soak, r *rand.Rand) func() {
		one := pick(s.routers, r)
		one.Kill()
		return func() { s.restartRouter(one) }
	}},
	{"all routers killed", false, func(s *soak, _ *rand.Rand) func() {
		for _, one := range s.routers {
			one.Kill()
		}
		return func() {
			for _, one := range s.routers {
				s.restartRouter(one)
			}
		}
	}},
	{"router paused", false, func(s *soak, r *rand.Rand) func() {
		p := pick(s.routers, r).Process
		p.Pause()
		return p.Continue
	}},
	{"router stopped", true, func(s *soak, r *rand.Rand) func() {
		one := pick(s.routers, r)
		s.mu.Lock()
		s.stopped[one.name] = time.Now()
		s.mu.Unlock()
		process := one.Process
		done := make(chan bool, 1)
		go func() { done <- process.Stop(grace) }()
		return func() {
			if !<-done && process == one.Process {
				s.count("routers that did not end in time")
				process.Continue()
				process.Kill()
			}
			s.restartRouter(one)
		}
	}},
	{"router gets SIGHUP", true, func(s *soak, r *rand.Rand) func() {
		_ = syscall.Kill(pick(s.routers, r).PID(), syscall.SIGHUP)
		return func() {}
	}},
	{"link to the store", false, func(s *soak, r *rand.Rand) func() { return breakLink(pick(s.routers, r).store, r) }},
	{"link to a server", false, func(s *soak, r *rand.Rand) func() { return breakLink(pick(s.backends, r).link, r) }},
	{"link from callers", false, func(s *soak, r *rand.Rand) func() { return breakLink(pick(s.routers, r).callers, r) }},
	{"server killed", false, func(s *soak, r *rand.Rand) func() {
		b := pick(s.backends, r)
		b.Kill()
		return func() { s.restartBackend(b) }
	}},
	{"a failure domain's engines killed", false, func(s *soak, r *rand.Rand) func() {
		domain := pick(domains, r)
		var killed []*backend
		for _, b := range s.backends {
			if b.domain == domain && b.service == "redattore" {
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
		p := pick(s.backends, r).Process
		p.Pause()
		return p.Continue
	}},
	{"server leaves", true, func(s *soak, r *rand.Rand) func() {
		b := pick(s.backends, r)
		process := b.Process
		done := make(chan bool, 1)
		go func() { done <- process.Stop(grace) }()
		return func() {
			<-done
			s.restartBackend(b)
		}
	}},
	{"store out", false, func(s *soak, _ *rand.Rand) func() { return s.order(`{"Outage":true}`, `{"Outage":false}`) }},
	{"store slow", false, func(s *soak, _ *rand.Rand) func() {
		return s.order(`{"DelayMillis":300}`, `{"DelayMillis":0}`)
	}},
	{"store loses answers", false, func(s *soak, r *rand.Rand) func() {
		return s.order(fmt.Sprintf(`{"LoseAnswers":%d}`, 1+r.IntN(5)), `{"LoseAnswers":0}`)
	}},
	{"store's connections silent", false, func(s *soak, _ *rand.Rand) func() {
		return s.order(`{"Silence":true}`, `{}`)
	}},
}

// In the last part of each cycle only planned work is done, so that bounds in time
// can be checked.
const (
	cycle = 16 * time.Second
	lull  = 8 * time.Second
)

// hurt does one fault, waits, and heals it.
func (s *soak) hurt(ctx context.Context, r *rand.Rand) {
	f := pick(faults, r)
	if time.Since(s.began)%cycle > cycle-lull && !f.planned {
		loop.Sleep(ctx, lull/16)
		return
	}
	if s.Verbose {
		fmt.Printf("%s %s\n", time.Now().Format("15:04:05.000"), f.name)
	}
	s.count("fault: " + f.name)
	s.disturb(f, 1)
	heal := f.do(s, r)
	loop.Sleep(ctx, time.Duration(300+r.IntN(3500))*time.Millisecond)
	heal()
	s.disturb(f, -1)
	loop.Sleep(ctx, time.Duration(r.IntN(3000))*time.Millisecond)
}

// disturb notes that a fault began or ended.
func (s *soak) disturb(f fault, change int) {
	if f.planned {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults += change
	s.calm = time.Now().Add(disturbed)
}

// restartRouter starts a router that has ended. Two series of faults may both want to.
func (s *soak) restartRouter(r *router) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if r.Running() {
		return
	}
	if err := s.startRouter(r); err != nil {
		fmt.Fprintln(os.Stderr, "restart:", err)
	}
}

func (s *soak) restartBackend(b *backend) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if b.Running() {
		return
	}
	if err := s.startBackend(b); err != nil {
		fmt.Fprintln(os.Stderr, "restart:", err)
	}
}

// operate changes the configuration and checks that it is in force in time where
// nothing was disturbed.
func (s *soak) operate(ctx context.Context, r *rand.Rand) {
	if err := s.configure(ctx); err != nil {
		return
	}
	written, version := time.Now(), s.version
	s.count("changes of the configuration")
	loop.Sleep(ctx, configTime)
	for _, one := range s.routers {
		since, calm := s.undisturbedSince()
		s.mu.Lock()
		stop := s.stopped[one.name]
		s.mu.Unlock()
		if !calm || since.After(written) || time.Since(stop) < 2*grace {
			continue
		}
		d, err := s.dump(one)
		if err != nil || d.ConfigVersion < version {
			s.problem("%s is at version %d %s after %d was written: %v", one.name, d.ConfigVersion, configTime, version, err)
		}
		s.count("versions checked in time")
	}
	loop.Sleep(ctx, time.Duration(r.IntN(1000))*time.Millisecond)
}

// get sends a lookup on a route that a version added.
func (s *soak) get(ctx context.Context, r *router, version int) int {
	ctx, cancel := context.WithTimeout(ctx, bookingTime)
	defer cancel()
	res, err := quick.Do(newRequest(ctx, http.MethodGet, r.callers.Address, fmt.Sprintf("/v%d/x", version)))
	if err != nil {
		return 0
	}
	defer res.Body.Close()
	return res.StatusCode
}
