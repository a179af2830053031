package keeper

import (
	"context"
	"net"
	"time"

	"github.com/pkg/errors"

	"wisteriafield/internal/backend/server"
	"wisteriafield/internal/router/quarantine"
)

// checkCrash records that the engine of an attempt that broke off after the given number of
// tokens is gone, if it is and was not to leave: that may be the request's doing. Where that is not
// known yet, the engine is watched: this router stopped the attempt, the check gave no result, or
// something accepts connections at its address.
func (k *Keeper) checkCrash(ctx context.Context, a *attempt, address string, tokens int, cause error) bool {
	name := a.serverName()
	if tokens >= quarantine.EarlyEvents || k.Leaves(name) {
		return false
	}
	endedAt := time.Now()
	stopped := ctx.Err() != nil || isTimeout(cause)
	listens, err := quarantine.Listens(ctx, address)
	watched := &server.Server{ID: name, Address: address}
	switch {
	case stopped && (err != nil || listens):
		k.deps.Quarantine.AttemptAbandoned(a.suspect, watched, tokens)
		return false
	case err != nil || listens:
		k.deps.Quarantine.AnswerBrokenOff(a.suspect, watched, quarantine.BrokenOff{At: endedAt, Answered: tokens > 0, Events: tokens})
		return false
	}
	k.markDown(name)
	crashed := quarantine.Incarnation(name, time.Now())
	a.crashedAt.Store(crashed.Started)
	k.deps.Quarantine.ServerLost(a.suspect, crashed, tokens)
	return true
}

// Leaves reports whether a server gets no new work according to the order plan, the host list or
// the server's own load report.
func (k *Keeper) Leaves(name string) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.isLeaving(name)
}

// wasSent reports whether an engine may have received the request of a failed call.
func wasSent(err error) bool {
	var opErr *net.OpError
	return !errors.As(err, &opErr) || opErr.Op != "dial"
}
