// Package limits enforces each organisation's rate and in-flight limits across
// all routers. The router that owns an organisation holds its token bucket and
// leases token allowances to the entries.
package limits

import (
	"context"
	"encoding/json"
	"fmt"
	"sync"
	"time"

	"github.com/pkg/errors"

	"wisteriafield/internal/base/loop"
	"wisteriafield/internal/config/document"
	"wisteriafield/internal/decision/limit"
	"wisteriafield/internal/router/control"
	"wisteriafield/internal/router/members"
)

const (
	methodLease = "Limits.Lease"

	callTimeout = 200 * time.Millisecond
	// inFlightTTL is how long an owner counts the in-flight requests that an
	// entry reported, unless the entry reports them again.
	inFlightTTL   = 15 * time.Second
	renewInterval = 5 * time.Second
	idleTTL       = 2 * time.Minute // after which unused state is deleted
)

var errUnknownOrganisation = errors.New("organisation is not in the configuration")

// Caller calls other routers.
type Caller interface {
	Call(ctx context.Context, address, method string, params, result any) error
}

// Limiter holds the allowances of this entry, and the token buckets of the
// organisations that this router owns.
type Limiter struct {
	members *members.Members
	peers   Caller
	local   *control.Server
	view    func() *document.View

	mu      sync.Mutex
	entries map[string]*entryState // by organisation
	owned   map[string]*ownerState // by organisation
}

// entryState is the state of one organisation at this entry.
type entryState struct {
	allowance limit.Allowance
	inFlight  int
	usedAt    time.Time
	refilling bool // a lease that asks for a reserve is under way
}

// ownerState is the state of one organisation at the router that owns it.
type ownerState struct {
	bucket   *limit.Bucket
	inFlight map[string]inFlightReport // by name of the entry
	usedAt   time.Time
}

// inFlightReport is the number of in-flight requests that an entry last reported.
type inFlightReport struct {
	count     int
	expiresAt time.Time
}

// New returns a limiter without state and registers its method at local.
func New(m *members.Members, peers Caller, local *control.Server, view func() *document.View) *Limiter {
	l := &Limiter{members: m, peers: peers, local: local, view: view, entries: make(map[string]*entryState), owned: make(map[string]*ownerState)}
	local.Handle(methodLease, l.handleLease)
	return l
}

// Decision says whether a request is within its organisation's limits.
type Decision struct {
	Allowed bool
	Cause   string // TokensPerSecond or InFlight
	RetryAt time.Time
}

// Acquire spends a request's tokens and counts it in flight. The caller must call
// Release for a request that was allowed.
func (l *Limiter) Acquire(ctx context.Context, o *document.Organisation, tokens float64) Decision {
	now := time.Now()
	l.mu.Lock()
	state := l.entryStateOf(o.Name)
	state.inFlight++
	state.usedAt = now
	req := leaseRequest{Organisation: o.Name, Entry: l.members.Self().Name, InFlight: state.inFlight}
	spent := state.allowance.Spend(tokens, now)
	refill := false
	if !spent {
		// Only one lease at a time asks for a reserve: concurrent leases would
		// drain the bucket for tokens that are never used.
		refill = !state.refilling
		state.refilling = true
		req.Tokens = tokens
	}
	if refill {
		req.Reserve = limit.ReserveSize(o.TokensPerSecond, len(l.members.Names(now)))
	}
	l.mu.Unlock()
	if req.Tokens == 0 && req.InFlight <= l.localInFlightLimit(o) {
		return Decision{Allowed: true}
	}
	reply, err := l.lease(ctx, req)
	l.mu.Lock()
	defer l.mu.Unlock()
	if refill {
		state.refilling = false
	}
	d := l.decide(state, o, req, reply, err, tokens)
	if !d.Allowed {
		state.inFlight--
		if spent {
			state.allowance.Remaining += tokens
		}
	}
	return d
}

// decide evaluates the owner's reply. The caller holds mu.
func (l *Limiter) decide(state *entryState, o *document.Organisation, req leaseRequest, reply leaseReply, err error, tokens float64) Decision {
	now := time.Now()
	if err != nil {
		return l.decideLocally(state, o, req, tokens, now)
	}
	retryAt := now.Add(time.Duration(reply.RetryMillis) * time.Millisecond)
	if !reply.Admitted {
		return Decision{Cause: "InFlight", RetryAt: now.Add(time.Second)}
	}
	if req.Tokens == 0 {
		return Decision{Allowed: true}
	}
	if reply.Tokens < req.Tokens {
		return Decision{Cause: "TokensPerSecond", RetryAt: retryAt}
	}
	state.allowance.Add(reply.Tokens-req.Tokens, now)
	return Decision{Allowed: true}
}

// decideLocally applies an entry's equal share of the limits while the owner is unreachable.
func (l *Limiter) decideLocally(state *entryState, o *document.Organisation, req leaseRequest, tokens float64, now time.Time) Decision {
	routers := len(l.members.Names(now))
	if req.InFlight > max(1, o.InFlight/max(routers, 1)) {
		return Decision{Cause: "InFlight", RetryAt: now.Add(time.Second)}
	}
	if req.Tokens > 0 && !state.allowance.SpendShare(tokens, o.TokensPerSecond, routers, now) {
		return Decision{Cause: "TokensPerSecond", RetryAt: now.Add(time.Second)}
	}
	return Decision{Allowed: true}
}

// localInFlightLimit is how many requests an entry may have in flight without a
// lease: half of an equal share, so that all entries together never exceed the
// limit.
func (l *Limiter) localInFlightLimit(o *document.Organisation) int {
	return o.InFlight / (2 * max(len(l.members.Names(time.Now())), 1))
}

// Release stops counting a request in flight and returns its unused tokens to the allowance.
func (l *Limiter) Release(o *document.Organisation, unused float64) {
	now := time.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	state := l.entryStateOf(o.Name)
	state.inFlight--
	if unused > 0 && now.Before(state.allowance.ExpiresAt) {
		state.allowance.Remaining += unused
	}
}

func (l *Limiter) entryStateOf(name string) *entryState {
	state := l.entries[name]
	if state == nil {
		state = &entryState{}
		l.entries[name] = state
	}
	return state
}

// lease sends a lease request to the owner of the organisation.
func (l *Limiter) lease(ctx context.Context, req leaseRequest) (leaseReply, error) {
	var reply leaseReply
	now := time.Now()
	name := l.members.Owner("limit/"+req.Organisation, now)
	if name == l.members.Self().Name {
		return reply, l.local.Call(ctx, methodLease, req, &reply)
	}
	owner, ok := l.members.Host(name)
	if !ok {
		return reply, control.ErrUnreachable
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	err := l.peers.Call(ctx, owner.PeerAddress, methodLease, req, &reply)
	if errors.Is(err, control.ErrUnreachable) {
		l.members.RecordFailure(name, now)
	}
	return reply, err
}

func (l *Limiter) handleLease(_ context.Context, params json.RawMessage) (any, error) {
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
		// This router's configuration is older than the entry's, which then applies its
		// own share of the limit.
		return nil, fmt.Errorf("organisation %q: %w", req.Organisation, errUnknownOrganisation)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.grant(o, req, time.Now()), nil
}

// grant decides on a lease at the owner. The caller holds mu.
func (l *Limiter) grant(o *document.Organisation, req leaseRequest, now time.Time) leaseReply {
	state := l.owned[o.Name]
	if state == nil {
		state = &ownerState{bucket: limit.NewBucket(o.TokensPerSecond, now), inFlight: make(map[string]inFlightReport)}
		l.owned[o.Name] = state
	}
	state.usedAt = now
	state.bucket.SetRate(o.TokensPerSecond, now)
	var others int
	for entry, report := range state.inFlight {
		if now.After(report.expiresAt) {
			delete(state.inFlight, entry)
			continue
		}
		if entry != req.Entry {
			others += report.count
		}
	}
	if others+req.InFlight > o.InFlight {
		return leaseReply{}
	}
	state.inFlight[req.Entry] = inFlightReport{req.InFlight, now.Add(inFlightTTL)}
	if req.Tokens == 0 {
		return leaseReply{Admitted: true}
	}
	ready := state.bucket.ReadyAt(req.Tokens, now)
	if ready.After(now) {
		return leaseReply{Admitted: true, RetryMillis: max(ready.Sub(now).Milliseconds(), 1)}
	}
	granted := state.bucket.Grant(req.Tokens, now) + state.bucket.Grant(req.Reserve, now)
	return leaseReply{Tokens: granted, Admitted: true, RetryMillis: ready.Sub(now).Milliseconds()}
}

// Run reports the requests in flight to the owners until ctx ends.
func (l *Limiter) Run(ctx context.Context) error {
	loop.Every(ctx, renewInterval, func(now time.Time) {
		for _, req := range l.renewals(now) {
			_, _ = l.lease(ctx, req)
		}
	})
	return nil
}

// renewals returns a report for each organisation with requests in flight and
// deletes the state that is idle.
func (l *Limiter) renewals(now time.Time) []leaseRequest {
	l.mu.Lock()
	defer l.mu.Unlock()
	var requests []leaseRequest
	for name, state := range l.entries {
		if state.inFlight > 0 {
			requests = append(requests, leaseRequest{Organisation: name, Entry: l.members.Self().Name, InFlight: state.inFlight})
		} else if now.Sub(state.usedAt) > idleTTL {
			delete(l.entries, name)
		}
	}
	for name, state := range l.owned {
		if now.Sub(state.usedAt) > idleTTL {
			delete(l.owned, name)
		}
	}
	return requests
}
