// Package limits keeps organisations within their limits across all routers. An
// organisation's home router holds its bucket and leases allowances to entries.
package limits

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"wisteriafield/internal/base/loop"
	"wisteriafield/internal/config/document"
	"wisteriafield/internal/decision/limit"
	"wisteriafield/internal/router/control"
	"wisteriafield/internal/router/members"
)

const (
	methodLease = "Limits.Lease"

	callTimeout = 200 * time.Millisecond
	// permitFor is how long a home counts a request in flight without hearing
	// of it again.
	permitFor  = 15 * time.Second
	renewEvery = 5 * time.Second
	forgetIdle = 2 * time.Minute
)

// Caller calls other routers.
type Caller interface {
	Call(ctx context.Context, address, method string, params, result any) error
}

// Limiter is both the entry's allowances and the home of some organisations.
type Limiter struct {
	members *members.Members
	peers   Caller
	local   *control.Server
	view    func() *document.View

	mu         sync.Mutex
	allowances map[string]*held
	homes      map[string]*home
}

// held is what this entry has of one organisation.
type held struct {
	allowance limit.Allowance
	inFlight  int
	usedAt    time.Time
	stocking  bool // a lease for more than one request is on its way
}

// home is what this router knows of an organisation that it is home of.
type home struct {
	bucket  *limit.Bucket
	permits map[string]permit // by entry
	usedAt  time.Time
}

type permit struct {
	n     int
	until time.Time
}

// leaseRequest asks for tokens and states the requests in flight at the entry,
// those that wait for this answer included.
type leaseRequest struct {
	Organisation string
	Entry        string
	Tokens       float64 // for the request itself: all or nothing
	Stock        float64 // on top, as far as there is some
	InFlight     int
}

type leaseReply struct {
	Tokens      float64 // granted, stock included
	Admitted    bool    // the requests in flight are within the limit
	RetryMillis int64
}

// New returns limits without state.
func New(m *members.Members, peers Caller, local *control.Server, view func() *document.View) *Limiter {
	l := &Limiter{members: m, peers: peers, local: local, view: view, allowances: make(map[string]*held), homes: make(map[string]*home)}
	local.Handle(methodLease, l.onLease)
	return l
}

// Decision says whether a request is within its organisation's limits.
type Decision struct {
	Allowed bool
	Cause   string // TokensPerSecond or InFlight
	RetryAt time.Time
}

// Acquire takes a request's tokens and counts it in flight. The caller of an
// allowed request must call Release.
func (l *Limiter) Acquire(ctx context.Context, o *document.Organisation, tokens float64) Decision {
	now := time.Now()
	l.mu.Lock()
	h := l.heldOf(o.Name)
	h.inFlight++
	h.usedAt = now
	ask := leaseRequest{Organisation: o.Name, Entry: l.members.Self().Name, InFlight: h.inFlight}
	spent := h.allowance.Spend(tokens, now)
	stock := false
	if !spent {
		// Only one lease at a time asks for stock; together they would empty
		// the bucket for what nobody uses.
		stock = !h.stocking
		h.stocking = true
		ask.Tokens = tokens
	}
	if stock {
		ask.Stock = limit.ReserveSize(o.TokensPerSecond, len(l.members.Names(now)))
	}
	l.mu.Unlock()
	if ask.Tokens == 0 && ask.InFlight <= l.share(o) {
		return Decision{Allowed: true}
	}
	reply, err := l.lease(ctx, ask)
	l.mu.Lock()
	defer l.mu.Unlock()
	if stock {
		h.stocking = false
	}
	v := l.judge(h, o, ask, reply, err, tokens)
	if !v.Allowed {
		h.inFlight--
	}
	return v
}

// judge decides from the home's answer. The caller holds mu.
func (l *Limiter) judge(h *held, o *document.Organisation, ask leaseRequest, reply leaseReply, err error, tokens float64) Decision {
	now := time.Now()
	if err != nil {
		return l.judgeAlone(h, o, ask, tokens, now)
	}
	retryAt := now.Add(time.Duration(reply.RetryMillis) * time.Millisecond)
	if !reply.Admitted {
		return Decision{Cause: "InFlight", RetryAt: now.Add(time.Second)}
	}
	if ask.Tokens == 0 {
		return Decision{Allowed: true}
	}
	if reply.Tokens < ask.Tokens {
		return Decision{Cause: "TokensPerSecond", RetryAt: retryAt}
	}
	h.allowance.Add(reply.Tokens-ask.Tokens, now)
	return Decision{Allowed: true}
}

// judgeAlone falls back to this entry's share while the home is out of reach.
func (l *Limiter) judgeAlone(h *held, o *document.Organisation, ask leaseRequest, tokens float64, now time.Time) Decision {
	routers := len(l.members.Names(now))
	if ask.InFlight > max(1, o.InFlight/max(routers, 1)) {
		return Decision{Cause: "InFlight", RetryAt: now.Add(time.Second)}
	}
	if ask.Tokens > 0 && !h.allowance.SpendShare(tokens, o.TokensPerSecond, routers, now) {
		return Decision{Cause: "TokensPerSecond", RetryAt: now.Add(time.Second)}
	}
	return Decision{Allowed: true}
}

// share is how many requests an entry may have in flight without asking: half
// of an equal share, so that the shares of all never pass the limit.
func (l *Limiter) share(o *document.Organisation) int {
	return o.InFlight / (2 * max(len(l.members.Names(time.Now())), 1))
}

// Release counts a request out and puts back the tokens that it did not use.
func (l *Limiter) Release(o *document.Organisation, unused float64) {
	now := time.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	h := l.heldOf(o.Name)
	h.inFlight--
	if unused > 0 && now.Before(h.allowance.ExpiresAt) {
		h.allowance.Left += unused
	}
}

func (l *Limiter) heldOf(name string) *held {
	h := l.allowances[name]
	if h == nil {
		h = &held{}
		l.allowances[name] = h
	}
	return h
}

func (l *Limiter) lease(ctx context.Context, req leaseRequest) (leaseReply, error) {
	var reply leaseReply
	now := time.Now()
	name := l.members.Owner("limit/"+req.Organisation, now)
	if name == l.members.Self().Name {
		return reply, l.local.Call(ctx, methodLease, req, &reply)
	}
	h, ok := l.members.Host(name)
	if !ok {
		return reply, control.ErrUnreachable
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	err := l.peers.Call(ctx, h.PeerAddress, methodLease, req, &reply)
	if err != nil {
		l.members.RecordFailure(name, now)
	}
	return reply, err
}

func (l *Limiter) onLease(_ context.Context, params json.RawMessage) (any, error) {
	req, err := control.DecodeParams[leaseRequest](params)
	if err != nil {
		return nil, err
	}
	view := l.view()
	if view == nil {
		return nil, control.ErrUnreachable
	}
	o := view.Organisation(req.Organisation)
	if o == nil {
		return leaseReply{}, nil
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.grant(o, req, time.Now()), nil
}

// grant decides at the home. The caller holds mu.
func (l *Limiter) grant(o *document.Organisation, req leaseRequest, now time.Time) leaseReply {
	h := l.homes[o.Name]
	if h == nil {
		h = &home{bucket: limit.NewBucket(o.TokensPerSecond, now), permits: make(map[string]permit)}
		l.homes[o.Name] = h
	}
	h.usedAt = now
	h.bucket.SetRate(o.TokensPerSecond, now)
	var others int
	for entry, p := range h.permits {
		if now.After(p.until) {
			delete(h.permits, entry)
			continue
		}
		if entry != req.Entry {
			others += p.n
		}
	}
	if others+req.InFlight > o.InFlight {
		return leaseReply{}
	}
	h.permits[req.Entry] = permit{req.InFlight, now.Add(permitFor)}
	if req.Tokens == 0 {
		return leaseReply{Admitted: true}
	}
	ready := h.bucket.ReadyAt(req.Tokens, now)
	if ready.After(now) {
		return leaseReply{Admitted: true, RetryMillis: max(ready.Sub(now).Milliseconds(), 1)}
	}
	given := h.bucket.Grant(req.Tokens, now) + h.bucket.Grant(req.Stock, now)
	return leaseReply{Tokens: given, Admitted: true, RetryMillis: ready.Sub(now).Milliseconds()}
}

// Run tells the homes of the requests that are still in flight until ctx ends.
func (l *Limiter) Run(ctx context.Context) error {
	loop.Every(ctx, renewEvery, func(now time.Time) {
		for _, req := range l.renewals(now) {
			_, _ = l.lease(ctx, req)
		}
	})
	return nil
}

func (l *Limiter) renewals(now time.Time) []leaseRequest {
	l.mu.Lock()
	defer l.mu.Unlock()
	var all []leaseRequest
	for name, h := range l.allowances {
		if h.inFlight > 0 {
			all = append(all, leaseRequest{Organisation: name, Entry: l.members.Self().Name, InFlight: h.inFlight})
		} else if now.Sub(h.usedAt) > forgetIdle {
			delete(l.allowances, name)
		}
	}
	for name, h := range l.homes {
		if now.Sub(h.usedAt) > forgetIdle {
			delete(l.homes, name)
		}
	}
	return all
}
