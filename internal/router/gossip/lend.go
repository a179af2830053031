package gossip

import (
	"cmp"
	"context"
	"encoding/json"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"wisteriafield/internal/router/control"
)

const (
	methodLend = "Gossip.Lend"

	// lenders is how many peers are asked for retries at once, of a random sample: routers that have
	// heard the same reports would all ask the same peers. lendTimeout bounds the wait for their
	// answers, which take a round trip.
	lenders      = 3
	lenderSample = 2 * lenders
	lendTimeout  = 80 * time.Millisecond
	// borrowInterval is the least time between two requests for retries of one service, and
	// emptyBorrowInterval that after one that got none, so that routers that have none left do
	// not flood each other.
	borrowInterval      = 50 * time.Millisecond
	emptyBorrowInterval = 300 * time.Millisecond
	// maxLoan bounds the retries of one request.
	maxLoan = 16
)

var (
	retriesBorrowedTotal = metrics.NewCounter("wisteriafield_retries_borrowed_total")
	retriesLentTotal     = metrics.NewCounter("wisteriafield_retries_lent_total")
)

type lendRequest struct {
	Service string
	Retries int
	Routers int // that the borrower knows of, itself included
}

type lendReply struct {
	Retries int
}

// borrowing orders the requests for retries: one at a time for each service.
type borrowing struct {
	mu       sync.Mutex
	services map[string]*borrowState
}

type borrowState struct {
	busy    bool          // a request is planned or in progress
	wanted  int           // retries that the planned request asks for
	nextAt  time.Time     // when the next request may begin
	changed chan struct{} // closed when a loan arrives or the request ends
}

// registerLending adds the method by which peers ask for retries.
func (g *Gossip) registerLending(s *control.Server) {
	s.Handle(methodLend, func(_ context.Context, params json.RawMessage) (any, error) {
		req, err := control.DecodeParams[lendRequest](params)
		if err != nil {
			return nil, err
		}
		if len(g.cfg.Servers.Service(req.Service)) == 0 {
			return lendReply{}, nil // the budget keeps counts of each service that it is asked for
		}
		lent := g.cfg.RetryBudget.Lend(req.Service, min(req.Retries, maxLoan), req.Routers, time.Now())
		retriesLentTotal.Add(lent)
		return lendReply{lent}, nil
	})
}

// Borrow has some peers asked for n retries of a service, which the budget then allows for
// retrybudget.LoanTime, unless a request is under way. The channel is closed when the next loan
// arrives, or when the request has ended.
func (g *Gossip) Borrow(service string, n int) <-chan struct{} {
	changed, beginAt := g.borrowing.plan(service, n, time.Now())
	if !beginAt.IsZero() {
		go func() {
			time.Sleep(time.Until(beginAt))
			g.requestRetries(service)
		}()
	}
	return changed
}

// requestRetries makes the planned request of a service. Answers that come after lendTimeout still
// add to the budget: their retries count at the lenders.
func (g *Gossip) requestRetries(service string) {
	n := g.borrowing.wanted(service)
	requestedAt := time.Now()
	hosts, routers := g.chooseLenders(service, requestedAt)
	got := 0
	if len(hosts) > 0 {
		req := lendRequest{Service: service, Retries: min(maxLoan, (n+len(hosts)-1)/len(hosts)), Routers: routers}
		got = g.collectLoans(hosts, req, requestedAt)
		g.cfg.Log.WithField("service", service).WithField("wanted", n).WithField("peers", len(hosts)).WithField("got", got).
			WithField("ms", time.Since(requestedAt).Milliseconds()).Info("retries borrowed")
	}
	g.borrowing.end(service, got, time.Now())
}

// chooseLenders returns the peers to ask: of a random sample, those with the most retries left by
// their last reports. It also returns how many routers there are, this one included.
func (g *Gossip) chooseLenders(service string, now time.Time) (hosts []Host, routers int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	peers := g.livePeers(g.plan(), now)
	routers = 1 + len(peers)
	rand.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
	peers = peers[:min(len(peers), lenderSample)]
	left := func(p *peer) float64 { return g.cfg.RetryBudget.Left(p.attempts[service]) }
	slices.SortStableFunc(peers, func(p, q *peer) int { return cmp.Compare(left(q), left(p)) })
	for _, p := range peers[:min(len(peers), lenders)] {
		hosts = append(hosts, p.host)
	}
	return hosts, routers
}

// collectLoans asks the hosts for loans, and returns how many retries came within lendTimeout. The
// calls go on for longer: a call that ends for its time closes the connection, which others use.
func (g *Gossip) collectLoans(hosts []Host, req lendRequest, requestedAt time.Time) (got int) {
	replies := make(chan int, len(hosts))
	for _, h := range hosts {
		go func() {
			lent := g.requestLoan(h, req)
			g.cfg.RetryBudget.AddLoan(req.Service, lent, requestedAt, time.Now())
			retriesBorrowedTotal.Add(lent)
			if lent > 0 {
				g.borrowing.notify(req.Service)
			}
			replies <- lent
		}()
	}
	timeout := time.After(lendTimeout)
	for range hosts {
		select {
		case lent := <-replies:
			got += lent
		case <-timeout:
			return got
		}
	}
	return got
}

// requestLoan asks a peer for a loan and returns the retries that it lends.
func (g *Gossip) requestLoan(h Host, req lendRequest) int {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	var reply lendReply
	if err := g.cfg.Caller.Call(ctx, h.Address, methodLend, req, &reply); err != nil {
		g.cfg.Log.WithField("peer", h.Name).WithError(err).Debug("peer did not lend retries")
		return 0
	}
	return max(0, min(reply.Retries, req.Retries))
}

// state returns the state of a service. The caller holds mu.
func (b *borrowing) state(service string) *borrowState {
	if b.services == nil {
		b.services = make(map[string]*borrowState)
	}
	s := b.services[service]
	if s == nil {
		s = &borrowState{changed: make(chan struct{})}
		b.services[service] = s
	}
	return s
}

// plan returns when the caller is to begin a request, or the zero time if one is planned or in
// progress.
func (b *borrowing) plan(service string, n int, now time.Time) (changed <-chan struct{}, beginAt time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.state(service)
	s.wanted = max(s.wanted, n)
	if s.busy {
		return s.changed, time.Time{}
	}
	s.busy = true
	if s.nextAt.After(now) {
		return s.changed, s.nextAt
	}
	return s.changed, now
}

// wanted returns how many retries the planned request asks for.
func (b *borrowing) wanted(service string) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.state(service).wanted
}

// notify wakes those who wait for a loan.
func (b *borrowing) notify(service string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.state(service)
	close(s.changed)
	s.changed = make(chan struct{})
}

// end records that the request of a service has ended, and how many retries it got.
func (b *borrowing) end(service string, got int, now time.Time) {
	b.mu.Lock()
	s := b.state(service)
	s.busy, s.wanted, s.nextAt = false, 0, now.Add(borrowInterval)
	if got == 0 {
		s.nextAt = now.Add(emptyBorrowInterval)
	}
	b.mu.Unlock()
	b.notify(service)
}
