package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"wisteriafield/internal/base/loop"
	"wisteriafield/internal/trial/fleet"
)

// fault is a kind of fault.
type fault struct {
	name   string
	inject func(s *soak, r *rand.Rand) (heal func()) // heal ends the fault
}

func (s *soak) randomRouter(r *rand.Rand) *fleet.Router {
	return s.fleet.Routers[r.IntN(len(s.fleet.Routers))]
}

func (s *soak) randomEngine(r *rand.Rand) fleet.Engine {
	return s.fleet.Engines[r.IntN(len(s.fleet.Engines))]
}

// orderFault sends a fault order to a stand-in and returns a function that sends the
// order which ends the fault, if there is one.
func (s *soak) orderFault(address, order, heal string) func() {
	_ = s.fleet.InjectFault(address, order)
	return func() {
		if heal != "" {
			_ = s.fleet.InjectFault(address, heal)
		}
	}
}

var faults = []fault{
	{"engine killed", func(s *soak, r *rand.Rand) func() {
		e := s.randomEngine(r)
		s.fleet.Process(e.Name).Kill()
		return func() { s.restart(func() error { return s.fleet.StartEngine(e) }) }
	}},
	{"engine paused", func(s *soak, r *rand.Rand) func() {
		p := s.fleet.Process(s.randomEngine(r).Name)
		p.Pause()
		return p.Continue
	}},
	{"engine connections silent", func(s *soak, r *rand.Rand) func() {
		return s.orderFault(s.randomEngine(r).Address, `{"Silence":true}`, "")
	}},
	{"engine slow", func(s *soak, r *rand.Rand) func() {
		return s.orderFault(s.randomEngine(r).Address, `{"Slow":4}`, `{"Slow":1}`)
	}},
	{"engine leaving", func(s *soak, r *rand.Rand) func() {
		return s.orderFault(s.randomEngine(r).Address, `{"Leaving":true}`, `{"Leaving":false}`)
	}},
	{"router killed", func(s *soak, r *rand.Rand) func() {
		target := s.randomRouter(r)
		target.Kill()
		return func() { s.restart(func() error { return s.fleet.StartRouter(target) }) }
	}},
	{"router paused", func(s *soak, r *rand.Rand) func() {
		target := s.randomRouter(r)
		target.Pause()
		return target.Continue
	}},
	{"router cut from peers", func(s *soak, r *rand.Rand) func() {
		target := s.randomRouter(r)
		target.PeerLink.Cut()
		return target.PeerLink.Restore
	}},
	{"router cut from the store", func(s *soak, r *rand.Rand) func() {
		target := s.randomRouter(r)
		target.StoreLink.Cut()
		return target.StoreLink.Restore
	}},
	{"router links silent", func(s *soak, r *rand.Rand) func() {
		target := s.randomRouter(r)
		target.PeerLink.Silence()
		target.StoreLink.Silence()
		return func() {}
	}},
	{"store out", func(s *soak, _ *rand.Rand) func() {
		return s.orderFault(s.fleet.PlatformAddress, `{"Outage":true}`, `{"Outage":false}`)
	}},
	{"store slow", func(s *soak, _ *rand.Rand) func() {
		return s.orderFault(s.fleet.PlatformAddress, `{"DelayMillis":600}`, `{"DelayMillis":0}`)
	}},
	{"store loses answers", func(s *soak, r *rand.Rand) func() {
		return s.orderFault(s.fleet.PlatformAddress, fmt.Sprintf(`{"LoseAnswers":%d}`, 1+r.IntN(5)), `{"LoseAnswers":0}`)
	}},
	{"service loses an answer", func(s *soak, _ *rand.Rand) func() {
		return s.orderFault(s.fleet.Services["banco-1"], `{"LoseAnswers":1}`, "")
	}},
}

// injectFaults injects one fault or two at once, waits, and ends them.
func (s *soak) injectFaults(ctx context.Context, r *rand.Rand) {
	n := 1 + r.IntN(2)
	var heals []func()
	for range n {
		f := faults[r.IntN(len(faults))]
		if s.Verbose {
			fmt.Printf("%s %s\n", time.Now().Format("15:04:05.000"), f.name)
		}
		s.count("fault: " + f.name)
		heals = append(heals, f.inject(s, r))
	}
	loop.Sleep(ctx, time.Duration(300+r.IntN(3500))*time.Millisecond)
	for _, heal := range heals {
		heal()
	}
	loop.Sleep(ctx, time.Duration(r.IntN(1500))*time.Millisecond)
}

func (s *soak) restart(start func() error) {
	if err := start(); err != nil {
		s.count("restart failed: " + err.Error())
	}
}
