package edgesoak

import (
	"context"
	"math/rand/v2"
	"time"

	"wisteriafield/internal/base/loop"
)

const (
	// stormChanges are the changes of the configuration in a storm, stormGap the time between two.
	stormChanges = 12
	stormGap     = 330 * time.Millisecond
)

// stormFaults are faults of many routers at once, beside which the others must have each change
// in time.
var stormFaults = []fault{
	{"many routers paused", false, func(s *soak, r *rand.Rand) func() {
		var ends []func()
		for _, target := range s.someRouters(r) {
			p := target.process()
			end := target.faults.begin()
			p.Pause()
			ends = append(ends, during(end, p.Continue))
		}
		return healAll(ends)
	}},
	{"many routers killed", false, func(s *soak, r *rand.Rand) func() { return s.killRouters(s.someRouters(r)) }},
	{"links of many routers to the store", false, func(s *soak, r *rand.Rand) func() {
		var ends []func()
		for _, target := range s.someRouters(r) {
			ends = append(ends, during(target.faults.begin(), breakLink(target.storeLink, r)))
		}
		return healAll(ends)
	}},
}

// someRouters returns at least one of the routers and not all, in random order.
func (s *soak) someRouters(r *rand.Rand) []*router {
	var routers []*router
	for _, i := range r.Perm(len(s.routers))[:1+r.IntN(max(1, len(s.routers)-1))] {
		routers = append(routers, s.routers[i])
	}
	return routers
}

// injectStorm injects a fault of many routers and a storm of changes, the one a moment before
// the other.
func (s *soak) injectStorm(ctx context.Context, r *rand.Rand) {
	faultRand := rand.New(rand.NewPCG(r.Uint64(), 0)) // r is not safe for concurrent use
	s.healing.Go(func() { s.injectOne(ctx, faultRand, pick(stormFaults, faultRand)) })
	loop.Sleep(ctx, time.Duration(r.IntN(1000))*time.Millisecond)
	for range stormChanges {
		version, err := s.writeConfig(ctx)
		if err != nil {
			break
		}
		writtenAt := time.Now()
		s.healing.Go(func() { s.checkVersion(ctx, int(version), writtenAt) })
		loop.Sleep(ctx, stormGap)
	}
	s.healing.Wait()
	loop.Sleep(ctx, disturbanceTimeout)
}
