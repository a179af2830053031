package keeper

import (
	"context"
	"sync"
	"time"

	"wisteriafield/internal/decision/admission"
)

// ownLoadWindow is the age up to which this keeper's own requests can account for
// a load report, since reports lag.
const ownLoadWindow = 3 * time.Second

// maxMissedReports is the number of failed reports in a row at which a server
// counts as down.
const maxMissedReports = 2

// foreignLoad estimates the requests that other routers run on a server, from the
// server's lagging load reports.
type foreignLoad struct {
	leaving bool
	missed  int // failed reports in a row
	samples []loadSample
}

type loadSample struct {
	at       time.Time
	requests int
}

// estimate returns the part of a reported load that this keeper's own requests
// within ownLoadWindow can't account for.
func (l *foreignLoad) estimate(now time.Time, reported, own int) int {
	l.samples = append(l.samples, loadSample{now, own})
	for len(l.samples) > 1 && now.Sub(l.samples[0].at) > ownLoadWindow {
		l.samples = l.samples[1:]
	}
	maxOwn := 0
	for _, sample := range l.samples {
		maxOwn = max(maxOwn, sample.requests)
	}
	return max(0, reported-maxOwn)
}

// fetchReports fetches the load reports of all servers of this keeper, in
// parallel.
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

// fetchReport fetches the load report of one server and updates its state in the
// queue.
func (k *Keeper) fetchReport(ctx context.Context, name string) {
	address := k.engineAddress(name)
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
		k.recordMissedReport(s)
		return
	}
	if s.Down {
		k.deps.Log.WithField("server", name).Info("backend server answers load reports again")
	}
	s.Down = false
	foreign := k.foreignLoadOf(name)
	foreign.missed = 0
	foreign.leaving = load.Leaving
	own := s.InFlight() - s.Foreign
	s.Foreign = foreign.estimate(now, load.Running+load.Waiting, own)
	s.Leaving = k.isLeaving(name)
	k.dispatch(now)
}

// recordMissedReport counts a failed report. The caller holds mu.
func (k *Keeper) recordMissedReport(s *admission.Server) {
	foreign := k.foreignLoadOf(s.Name)
	foreign.missed++
	if foreign.missed >= maxMissedReports {
		s.Down = true
	}
}

// foreignLoadOf returns the estimate for a server, a new one if there is none.
// The caller holds mu.
func (k *Keeper) foreignLoadOf(name string) *foreignLoad {
	foreign := k.foreignLoads[name]
	if foreign == nil {
		foreign = &foreignLoad{}
		k.foreignLoads[name] = foreign
	}
	return foreign
}

// markDown keeps new work from a server until its next load report.
func (k *Keeper) markDown(name string) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if s := k.queue.Server(name); s != nil {
		s.Down = true
	}
}

// observeGap records the time between two tokens in the server's pace, or the
// time from dispatch to the first token.
func (k *Keeper) observeGap(server string, gap time.Duration, first bool) {
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
