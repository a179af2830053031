package discovery

import (
	"context"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"wisteriafield/internal/base/loop"
	"wisteriafield/platform/kv"
)

const (
	// hostTTL is how long a dead router stays listed. Peers detect by gossip which
	// routers are live, so it only has to keep the store tidy, and renewals are charged.
	hostTTL = time.Minute
	// hostRenewalInterval is the time between renewals: three in the life of a lease.
	hostRenewalInterval = hostTTL / 3
	// settleDelay is the time in which a router finds peers by its seeds before it decides
	// whether to list itself.
	settleDelay = 2 * time.Second
	// registerRetryDelay is the delay after a failed registration, by which routers without
	// a seed that is up find each other, and between two decisions.
	registerRetryDelay = 1250 * time.Millisecond
)

// LeaseStore writes keys that expire with their lease.
type LeaseStore interface {
	Grant(ctx context.Context, ttl time.Duration) (string, error)
	KeepAlive(ctx context.Context, lease string) error
	SetWithLease(ctx context.Context, key string, body []byte, lease string) error
}

// Registrar keeps this router's entry in the store, while the router should be listed.
type Registrar struct {
	Store LeaseStore
	Key   string
	Value []byte
	// ShouldList reports whether this router should be listed now.
	ShouldList func() bool
	Log        *logrus.Entry
}

// Run keeps the entry registered until ctx ends.
func (r *Registrar) Run(ctx context.Context) error {
	loop.Sleep(ctx, settleDelay)
	for ctx.Err() == nil {
		if !r.ShouldList() {
			loop.Sleep(ctx, registerRetryDelay)
			continue
		}
		lease, err := r.register(ctx)
		if err != nil {
			r.Log.WithError(err).Info("cannot register host in the store")
			loop.Sleep(ctx, registerRetryDelay)
			continue
		}
		r.renew(ctx, lease)
	}
	return nil
}

// register writes the entry under a new lease, which it returns.
func (r *Registrar) register(ctx context.Context) (string, error) {
	lease, err := r.Store.Grant(ctx, hostTTL)
	if err != nil {
		return "", err
	}
	return lease, r.Store.SetWithLease(ctx, r.Key, r.Value, lease)
}

// renew keeps the lease alive until it expired, the router need not be listed any more or
// ctx ends.
func (r *Registrar) renew(ctx context.Context, lease string) {
	for loop.Sleep(ctx, hostRenewalInterval) && r.ShouldList() {
		if err := r.Store.KeepAlive(ctx, lease); errors.Is(err, kv.ErrNotFound) {
			r.Log.Info("host lease expired")
			return
		}
	}
}
