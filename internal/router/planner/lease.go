package planner

import (
	"context"
	"slices"
	"time"

	"github.com/pkg/errors"

	"wisteriafield/internal/decision/placement"
	"wisteriafield/platform/kv"
)

// isCandidate reports whether this router is one of the few that try to get the
// lease.
func (p *Planner) isCandidate() bool {
	self := p.deps.Members.Self()
	ranked := placement.Rendezvous("planner", p.deps.Members.Names(time.Now()))
	return slices.Contains(ranked[:min(maxCandidates, len(ranked))], self.Name)
}

// IsLeader reports whether this router holds the lease. It is safe for concurrent
// use.
func (p *Planner) IsLeader() bool {
	return time.Now().UnixNano() < p.leaderUntil.Load() && !p.leaseMayBeLost()
}

// leaseMayBeLost reports whether the store was restored since the lease was granted: it may
// have granted it to another router.
func (p *Planner) leaseMayBeLost() bool { return p.leaseEra.Load() != p.deps.Store.Era() }

// holdsLease reports whether the lease is held for at least leaseMargin more.
func (p *Planner) holdsLease(now time.Time) bool {
	return p.lease != "" && !p.leaseMayBeLost() && now.Add(leaseMargin).Before(p.leaseUntil)
}

// acquireLease renews the lease when half of its time has passed, or gets it if no
// router holds it. It reports whether this router holds the lease.
func (p *Planner) acquireLease(ctx context.Context) bool {
	requestedAt := time.Now()
	if p.lease != "" && p.leaseMayBeLost() {
		p.lease = ""
		p.deps.Log.WithField("era", p.deps.Store.Era()).Info("lease of the order plan ended: the store was restored")
	}
	if p.lease != "" {
		if requestedAt.Add(leaseTTL / 2).Before(p.leaseUntil) {
			return true
		}
		err := p.deps.Store.KeepAlive(ctx, p.lease)
		if err == nil {
			p.leaseUntil = requestedAt.Add(leaseTTL)
			return true
		}
		if errors.Is(err, kv.ErrNotFound) || requestedAt.After(p.leaseUntil) {
			p.lease = ""
		}
		return p.holdsLease(time.Now())
	}
	if _, err := p.deps.Store.Get(ctx, p.leaderKey()); !errors.Is(err, kv.ErrNotFound) {
		return false
	}
	era := p.deps.Store.Era()
	lease, err := p.deps.Store.Grant(ctx, leaseTTL)
	if err != nil {
		return false
	}
	if _, err := p.deps.Store.Put(ctx, p.leaderKey(), []byte(p.deps.Members.Self().Name), 0, lease); err != nil {
		return false
	}
	p.lease, p.leaseUntil = lease, requestedAt.Add(leaseTTL)
	p.leaseEra.Store(era)
	if p.leaseMayBeLost() {
		return false
	}
	p.deps.Log.Info("router leads the order plan")
	return true
}
