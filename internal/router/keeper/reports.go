package keeper

import (
	"context"
	"sync"
	"time"

	"wisteriafield/internal/decision/admission"
)

// ownWindow is how far back this keeper's own requests may explain a load
// report.
const ownWindow = 3 * time.Second

// missedReports is how many reports in a row may fail before a server counts as
// down.
const missedReports = 2

// foreign estimates what others run on a server from its lagging reports.
type foreign struct {
	leaving bool
	missed  int // reports in a row that did not come
	own     []ownLoad
}

type ownLoad struct {
	at time.Time
	n  int
}

// estimate returns the part of a reported load that this keeper's own requests
// can't explain.
func (f *foreign) estimate(now time.Time, reported, own int) int {
	f.own = append(f.own, ownLoad{now, own})
	for len(f.own) > 1 && now.Sub(f.own[0].at) > ownWindow {
		f.own = f.own[1:]
	}
	most := 0
	for _, o := range f.own {
		most = max(most, o.n)
	}
	return max(0, reported-most)
}

// fetchReports asks all servers here for their load, in parallel.
func (k *Keeper) fetchReports(ctx context.Context) {
	k.mu.Lock()
	names := k.queue.ServerNames()
	k.mu.Unlock()
	var wg sync.WaitGroup
	for _, name := range names {
		wg.Add(1)
		go func() {
			defer wg.Done()
			k.fetchReport(ctx, name)
		}()
	}
	wg.Wait()
}

func (k *Keeper) fetchReport(ctx context.Context, name string) {
	address := k.address(name)
	if address == "" {
		return
	}
	load, err := k.deps.Engines.Load(ctx, address)
	now := time.Now()
	k.mu.Lock()
	defer k.mu.Unlock()
	s := k.queue.Server(name)
	if s == nil {
		return
	}
	if err != nil {
		k.missReport(s)
		return
	}
	if s.Down {
		k.deps.Log.WithField("server", name).Info("server answers again")
	}
	s.Down = false
	f := k.foreignOf(name)
	f.missed = 0
	f.leaving = load.Leaving
	own := s.InFlight() - s.Foreign
	s.Foreign = f.estimate(now, load.Running+load.Waiting, own)
	s.Leaving = k.leaving(name)
	k.dispatch(now)
}

// missReport counts a report that did not come. The caller holds mu.
func (k *Keeper) missReport(s *admission.Server) {
	f := k.foreignOf(s.Name)
	f.missed++
	if f.missed >= missedReports {
		s.Down = true
	}
}

func (k *Keeper) foreignOf(name string) *foreign {
	f := k.foreign[name]
	if f == nil {
		f = &foreign{}
		k.foreign[name] = f
	}
	return f
}

// markDown leaves a server out until a load report comes from it.
func (k *Keeper) markDown(name string) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if s := k.queue.Server(name); s != nil {
		s.Down = true
	}
}

// observe records the time that a token took.
func (k *Keeper) observe(server string, gap time.Duration, first bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	s := k.queue.Server(server)
	if s == nil {
		return
	}
	if first {
		s.Pace.ObserveFirstToken(gap)
		return
	}
	s.Pace.Observe(gap, s.Load())
}
