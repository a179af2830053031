package planner

import (
	"context"
	"slices"
	"time"

	"github.com/pkg/errors"

	"wisteriafield/internal/decision/placement"
	"wisteriafield/platform/kv"
)

// contends reports whether this router is one of the few that try.
func (p *Planner) contends() bool {
	self := p.deps.Members.Self()
	order := placement.Rendezvous("planner", p.deps.Members.Names(time.Now()))
	return slices.Contains(order[:min(contenders, len(order))], self.Name)
}

// IsLeader reports whether this router holds the lease. It is safe to call from
// other goroutines.
func (p *Planner) IsLeader() bool { return time.Now().UnixNano() < p.leadsUntil.Load() }

// leads reports whether the lease is surely held for a while yet.
func (p *Planner) leads(now time.Time) bool {
	return p.lease != "" && now.Add(leaseMargin).Before(p.leaseUntil)
}

// hold keeps or gets the lease.
func (p *Planner) hold(ctx context.Context) bool {
	asked := time.Now()
	if p.lease != "" {
		if asked.Add(leaseTTL / 2).Before(p.leaseUntil) {
			return true
		}
		err := p.deps.Store.KeepAlive(ctx, p.lease)
		if err == nil {
			p.leaseUntil = asked.Add(leaseTTL)
			return true
		}
		if errors.Is(err, kv.ErrNotFound) || asked.After(p.leaseUntil) {
			p.lease = ""
		}
		return p.leads(time.Now())
	}
	if _, err := p.deps.Store.Get(ctx, p.leaderKey()); !errors.Is(err, kv.ErrNotFound) {
		return false
	}
	lease, err := p.deps.Store.Grant(ctx, leaseTTL)
	if err != nil {
		return false
	}
	if _, err := p.deps.Store.Put(ctx, p.leaderKey(), []byte(p.deps.Members.Self().Name), 0, lease); err != nil {
		return false
	}
	p.lease, p.leaseUntil = lease, asked.Add(leaseTTL)
	p.deps.Log.Info("leads the order plan")
	return true
}
