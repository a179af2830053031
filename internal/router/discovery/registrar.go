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
	// hostTTL is how long a dead router stays listed. Peers find out for
	// themselves who lives, so it only has to be tidy.
	hostTTL = 15 * time.Second
	// hostRenewal is between renewals, three in a lease.
	hostRenewal = hostTTL / 3
)

// LeaseStore writes keys that go when their lease ends.
type LeaseStore interface {
	Grant(ctx context.Context, ttl time.Duration) (string, error)
	KeepAlive(ctx context.Context, lease string) error
	SetWithLease(ctx context.Context, key string, body []byte, lease string) error
}

// Registrar keeps this router listed in the store.
type Registrar struct {
	Store LeaseStore
	Key   string
	Value []byte
	Log   *logrus.Entry
}

// Run keeps the entry until ctx ends.
func (r *Registrar) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		lease, err := r.enter(ctx)
		if err != nil {
			r.Log.WithError(err).Info("host not listed")
			loop.Pause(ctx, hostRenewal/4)
			continue
		}
		r.keep(ctx, lease)
	}
	return nil
}

func (r *Registrar) enter(ctx context.Context) (string, error) {
	lease, err := r.Store.Grant(ctx, hostTTL)
	if err != nil {
		return "", err
	}
	return lease, r.Store.SetWithLease(ctx, r.Key, r.Value, lease)
}

// keep renews until the lease ended.
func (r *Registrar) keep(ctx context.Context, lease string) {
	for loop.Pause(ctx, hostRenewal) {
		if err := r.Store.KeepAlive(ctx, lease); errors.Is(err, kv.ErrNotFound) {
			r.Log.Info("host lease lapsed")
			return
		}
	}
}
