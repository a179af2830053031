package gossip

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"wisteriafield/internal/router/control"
)

const (
	methodLend = "Gossip.Lend"

	// lenders is how many peers are asked for retries at once, and lendTimeout bounds the wait for
	// their answers, which take a round trip.
	lenders     = 3
	lendTimeout = 80 * time.Millisecond
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
	done   chan struct{} // closed when the request in progress ends; nil without one
	nextAt time.Time     // when another one may begin
}

// registerLending adds the method by which peers ask for retries.
func (g *Gossip) registerLending(s *control.Server) {
	s.Handle(methodLend, func(_ context.Context, params json.RawMessage) (any, error) {
		req, err := control.DecodeParams[lendRequest](params)
		if err != nil {
			return nil, err
		}
		lent := g.cfg.RetryBudget.Lend(req.Service, min(req.Retries, maxLoan), req.Routers, time.Now())
		retriesLentTotal.Add(lent)
		return lendReply{lent}, nil
	})
}

// Borrow asks some peers for retries of a service, which the budget then allows for
// retrybudget.LoanTime. It returns after their answers, or those to a request that another
// caller has made.
func (g *Gossip) Borrow(ctx context.Context, service string, n int) {
	done, first := g.borrowing.begin(service, time.Now())
	if !first {
		if done != nil {
			select {
			case <-done:
			case <-ctx.Done():
			}
		}
		return
	}
	got := 0
	defer func() { g.borrowing.end(service, got, time.Now()) }()
	ctx, cancel := context.WithTimeout(ctx, lendTimeout)
	defer cancel()
	hosts := g.LivePeers(time.Now())
	routers := 1 + len(hosts)
	rand.Shuffle(len(hosts), func(i, j int) { hosts[i], hosts[j] = hosts[j], hosts[i] })
	hosts = hosts[:min(len(hosts), lenders)]
	if len(hosts) == 0 {
		return
	}
	req := lendRequest{Service: service, Retries: min(maxLoan, (n+len(hosts)-1)/len(hosts)), Routers: routers}
	replies := make(chan int, len(hosts))
	requestedAt := time.Now()
	for _, h := range hosts {
		go func() {
			var reply lendReply
			if err := g.cfg.Caller.Call(ctx, h.Address, methodLend, req, &reply); err != nil {
				g.cfg.Log.WithField("peer", h.Name).WithError(err).Debug("peer did not lend retries")
			}
			replies <- min(reply.Retries, req.Retries)
		}()
	}
	for range hosts {
		lent := <-replies
		g.cfg.RetryBudget.AddLoan(service, lent, requestedAt, time.Now())
		got += lent
	}
	retriesBorrowedTotal.Add(got)
	g.cfg.Log.WithField("service", service).WithField("wanted", n).WithField("peers", len(hosts)).WithField("got", got).
		WithField("ms", time.Since(requestedAt).Milliseconds()).Info("retries borrowed")
}

// begin reports whether the caller is to make a request. If not, the channel is closed when the one
// in progress ends; it is nil if the last one was just made.
func (b *borrowing) begin(service string, now time.Time) (done <-chan struct{}, first bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.services == nil {
		b.services = make(map[string]*borrowState)
	}
	s := b.services[service]
	if s == nil {
		s = &borrowState{}
		b.services[service] = s
	}
	if s.done != nil {
		return s.done, false
	}
	if now.Before(s.nextAt) {
		return nil, false
	}
	s.done = make(chan struct{})
	return nil, true
}

// end records that the request of a service has ended, and how many retries it got.
func (b *borrowing) end(service string, got int, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.services[service]
	close(s.done)
	s.done, s.nextAt = nil, now.Add(borrowInterval)
	if got == 0 {
		s.nextAt = now.Add(emptyBorrowInterval)
	}
}
