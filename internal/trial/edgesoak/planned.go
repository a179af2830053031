package edgesoak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"wisteriafield/internal/base/loop"
	"wisteriafield/internal/trial/workers"
)

const (
	// maxSilence is how long a sound server may be silent, minSilence how long at least.
	minSilence = 200 * time.Millisecond
	maxSilence = 1300 * time.Millisecond
	// In one of silentSpans spans a server is silent by itself, 8 % of its time.
	silenceSpan    = 4 * time.Second
	silentSpans    = 3
	minSpanSilence = 700 * time.Millisecond
	// shortNotice is the time from the signal to the end of a server that leaves at short notice.
	shortNotice = 2 * time.Second
	// minSoundTime is how long a server answers between two silences at least.
	minSoundTime = 500 * time.Millisecond
	// plannedSeries are the series of planned faults that overlap if there are no others.
	plannedSeries  = 2
	maxPlannedWait = 800 * time.Millisecond // between two faults of a series
	maxGap         = 400 * time.Millisecond // between two changes in quick succession
)

// plannedFaults are injected by a soak without other faults.
var plannedFaults = []fault{
	{"servers of a service silent", true, func(s *soak, r *rand.Rand) func() {
		servers := s.someServers(r)
		var ends []func()
		for _, b := range servers {
			if b.sound() {
				ends = append(ends, s.silence(b, r, minSilence))
			}
		}
		return healAll(ends)
	}},
	{"servers leave", true, func(s *soak, r *rand.Rand) func() { return s.leaveSome(r, grace) }},
	{"servers leave at short notice", true, func(s *soak, r *rand.Rand) func() { return s.leaveSome(r, shortNotice) }},
	{"router stopped", true, func(s *soak, r *rand.Rand) func() {
		var running []*router
		now := time.Now()
		for _, target := range s.routers {
			if !target.faults.within(now.Add(-minSoundTime), now) {
				running = append(running, target)
			}
		}
		if len(running) <= len(s.routers)/2 {
			return func() {}
		}
		return s.stopRouter(pick(running, r))
	}},
	{"router gets SIGHUP", true, hangUp},
	{"configuration changed in quick succession", true, func(s *soak, r *rand.Rand) func() {
		for range 2 + r.IntN(3) {
			if _, err := s.writeConfig(context.Background()); err != nil {
				break
			}
			s.count("changes of the configuration")
			time.Sleep(rand.N(maxGap))
		}
		return func() {}
	}},
}

func healAll(ends []func()) func() {
	return func() {
		for _, end := range ends {
			end()
		}
	}
}

// someServers returns at least one of the servers of a service, in random order.
func (s *soak) someServers(r *rand.Rand) []*backend {
	service := pick(s.backends, r).service
	var servers []*backend
	for _, b := range s.backends {
		if b.service == service {
			servers = append(servers, b)
		}
	}
	r.Shuffle(len(servers), func(i, j int) { servers[i], servers[j] = servers[j], servers[i] })
	return servers[:1+r.IntN(len(servers))]
}

// pickRouter returns the router for a request. Beside planned faults only, every third goes
// to one that is stopping, if there is one.
func (s *soak) pickRouter(r *rand.Rand) *router {
	router := pick(s.routers, r)
	if !s.Planned || r.IntN(3) > 0 {
		return router
	}
	for _, i := range r.Perm(len(s.routers)) {
		if s.routers[i].faults.active() && s.routers[i].Running() {
			return s.routers[i]
		}
	}
	return router
}

// staying returns how many servers of a service are there and do not leave.
func (s *soak) staying(service string) int {
	n := 0
	for _, b := range s.backends {
		if b.service == service && !b.absences.active() {
			n++
		}
	}
	return n
}

// injectPlanned injects one planned fault, which ends in the background, and waits.
func (s *soak) injectPlanned(ctx context.Context, r *rand.Rand) {
	f := pick(plannedFaults, r)
	if s.Verbose {
		fmt.Printf("%s %s\n", time.Now().Format("15:04:05.000"), f.name)
	}
	s.count("fault: " + f.name)
	s.healing.Go(f.inject(s, r))
	loop.Sleep(ctx, time.Duration(r.IntN(int(maxPlannedWait.Milliseconds())))*time.Millisecond)
}

// sound reports whether a server has answered for a while.
func (b *backend) sound() bool {
	now := time.Now()
	return !b.delays.within(now.Add(-minSoundTime), now)
}

// fallSilent returns a step that takes a span of a server's time, with a silence or without.
func (s *soak) fallSilent(b *backend) workers.Step {
	return func(ctx context.Context, r *rand.Rand) {
		end := time.Now().Add(silenceSpan)
		if r.IntN(silentSpans) == 0 && loop.Sleep(ctx, time.Duration(r.Int64N(int64(silenceSpan-maxSilence)))) && b.sound() {
			s.count("silences of one server")
			s.silence(b, r, minSpanSilence)()
		}
		loop.SleepUntil(ctx, end)
	}
}

// silence pauses a server for a moment and returns a function that waits for its end.
func (s *soak) silence(b *backend, r *rand.Rand, least time.Duration) func() {
	p := b.process()
	end := b.delays.begin()
	p.Pause()
	done := make(chan struct{})
	time.AfterFunc(least+time.Duration(r.Int64N(int64(maxSilence-least))), func() {
		p.Continue()
		end()
		close(done)
	})
	return func() { <-done }
}

// leaveSome lets servers of a service leave, but not all.
func (s *soak) leaveSome(r *rand.Rand, notice time.Duration) func() {
	var ends []func()
	for _, b := range s.someServers(r) {
		if s.staying(b.service) > 1 && !b.absences.active() {
			ends = append(ends, s.leave(b, notice))
		}
	}
	return healAll(ends)
}

// leave lets a server leave, which is ended after the notice at the latest, and returns a
// function that starts it again.
func (s *soak) leave(b *backend, notice time.Duration) func() {
	process := b.process()
	end := b.absences.begin()
	done := make(chan bool, 1)
	go func() {
		ended := process.Stop(notice)
		process.Kill()
		b.exits.begin()()
		done <- ended
	}()
	return during(end, func() {
		<-done
		s.restartBackend(b)
	})
}

// stopRouter sends a router SIGTERM and returns a function that starts it again.
func (s *soak) stopRouter(target *router) func() {
	s.mu.Lock()
	s.stoppedAt[target.name] = time.Now()
	s.stops[target.name] = append(s.stops[target.name], time.Now())
	s.mu.Unlock()
	process := target.process()
	end := target.faults.begin()
	done := make(chan bool, 1)
	go func() { done <- process.Stop(grace) }()
	return during(end, func() {
		if !<-done && process == target.process() {
			s.count("routers that did not end in time")
			process.Continue()
			process.Kill()
		}
		s.restartRouter(target)
	})
}
