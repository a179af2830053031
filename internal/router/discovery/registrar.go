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
	// hostEraCheckInterval is how often a listed router checks whether the store was
	// restored, which loses the entry.
	hostEraCheckInterval = time.Second
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
	// Era returns the newest era of the store that this router knows.
	Era func() int64
	// Turn returns the delay after which this router lists itself again when the store was
	// restored, so that not all routers do so at once.
	Turn func() time.Duration
	Log  *logrus.Entry
}

// Run keeps the entry registered until ctx ends.
func (r *Registrar) Run(ctx context.Context) error {
	loop.Sleep(ctx, settleDelay)
	for ctx.Err() == nil {
		if !r.ShouldList() {
			loop.Sleep(ctx, registerRetryDelay)
			continue
		}
		era := r.Era()
		lease, err := r.register(ctx)
		if err != nil {
			r.Log.WithError(err).Info("cannot register host in the store")
			loop.Sleep(ctx, registerRetryDelay)
			continue
		}
		r.renew(ctx, lease, era)
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

// renew keeps the lease, which the store granted in an era, alive until it is lost, the router
// need not be listed any more or ctx ends.
func (r *Registrar) renew(ctx context.Context, lease string, era int64) {
	renewal := time.Now().Add(hostRenewalInterval)
	for loop.Sleep(ctx, hostEraCheckInterval) {
		if r.Era() != era {
			r.Log.WithField("era", r.Era()).Info("store was restored, host lists itself again")
			loop.Sleep(ctx, r.Turn())
			return
		}
		if time.Now().Before(renewal) {
			continue
		}
		if !r.ShouldList() {
			return
		}
		renewal = time.Now().Add(hostRenewalInterval)
		if err := r.Store.KeepAlive(ctx, lease); errors.Is(err, kv.ErrNotFound) {
			r.Log.Info("host lease expired")
			return
		}
	}
}
