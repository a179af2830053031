package connpool

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"time"
)

// silentAfter is the time without an answer after which a kept connection may be silent. Engines
// answer control calls within a few ms.
const silentAfter = 40 * time.Millisecond

// Call is a control call, which may be made twice.
type Call struct {
	Address string
	Class   string // kind of call; a late second answer reaches calls of the same kind only
	// NewRequest returns the request. It is called for each connection.
	NewRequest func() (*http.Request, error)

	id    string                        // of a caller's request; a connection carries none twice
	named func(res *http.Response) bool // whether an answer names the request; nil for control calls
}

// keeps reports whether the connection of an answer may be kept.
func (c *Call) keeps(res *http.Response) bool { return c.named == nil || c.named(res) }

// attempt is a call on one connection.
type attempt struct {
	startedAt time.Time
	cancel    context.CancelCauseFunc
	detach    func() bool // lets the attempt outlive the caller's context
	done      chan result
}

type result struct {
	res    *http.Response
	member Member
	err    error
}

// Do makes a call and returns its first answer. A call on a kept connection that ends before
// the answer, or gives none in time, is made once more on a new connection to the same server.
// The caller has to close the body.
func (c *Client) Do(ctx context.Context, call Call) (*http.Response, error) {
	kept := c.take(call)
	if kept == nil {
		return c.start(ctx, call, nil).wait(ctx)
	}
	first := c.start(ctx, call, kept)
	timer := time.NewTimer(secondAttemptAfter(ctx))
	defer timer.Stop()
	select {
	case r := <-first.done:
		if r.err == nil || !errors.Is(r.err, errEnded) || ctx.Err() != nil {
			return r.res, r.err
		}
		idleRacesTotal.Inc()
		return c.start(ctx, call, nil).wait(ctx)
	case <-timer.C:
		return c.race(ctx, first, c.start(ctx, call, nil), kept.member)
	}
}

// race returns the first answer of a kept connection and a new one.
func (c *Client) race(ctx context.Context, first, second *attempt, kept Member) (*http.Response, error) {
	select {
	case r := <-first.done:
		if r.err != nil && errors.Is(r.err, errEnded) && ctx.Err() == nil {
			idleRacesTotal.Inc()
			return second.wait(ctx)
		}
		second.cancel(nil)
		return r.res, r.err
	case r := <-second.done:
		if r.err != nil {
			return first.waitOr(ctx, r.err)
		}
		first.detach()
		go c.checkSilent(first, kept, r.member)
		return r.res, nil
	}
}

// checkSilent gives a kept connection the rest of its time after a new one has answered. One
// that stays silent is evidence against all that are as old.
func (c *Client) checkSilent(first *attempt, kept, answered Member) {
	defer first.cancel(nil)
	timer := time.NewTimer(time.Until(first.startedAt.Add(silentAfter)))
	defer timer.Stop()
	select {
	case <-first.done:
	case <-timer.C:
		c.dropSilent(kept, answered)
	}
}

// start makes a call on a connection, or on a new one if it is nil. The result's body ends the
// attempt.
func (c *Client) start(ctx context.Context, call Call, k *conn) *attempt {
	own, cancel := context.WithCancelCause(context.WithoutCancel(ctx))
	stop := context.AfterFunc(ctx, func() { cancel(context.Cause(ctx)) })
	a := &attempt{startedAt: time.Now(), cancel: cancel, detach: stop, done: make(chan result, 1)}
	go func() {
		r := c.attempt(own, call, k, func() { stop(); cancel(nil) })
		if r.err != nil {
			stop()
			cancel(nil)
		}
		a.done <- r
	}()
	return a
}

func (c *Client) attempt(ctx context.Context, call Call, k *conn, end func()) result {
	if k == nil {
		var err error
		if k, err = c.open(ctx, call.Address, call.Class); err != nil {
			return result{err: err}
		}
	}
	if call.id != "" {
		k.carried = append(k.carried, call.id)
	}
	req, err := call.NewRequest()
	if err != nil {
		_ = k.Close()
		return result{err: err}
	}
	res, err := k.roundTrip(ctx, req, func(res *http.Response, reusable bool) {
		end()
		if reusable && call.keeps(res) {
			c.put(k, res)
		} else {
			_ = k.Close()
		}
	})
	return result{res: res, member: k.member, err: err}
}

// wait returns the result of the attempt, or the error of ctx.
func (a *attempt) wait(ctx context.Context) (*http.Response, error) {
	r := <-a.done // the end of ctx ends the attempt
	switch {
	case r.err == nil || ctx.Err() == nil:
		return r.res, r.err
	case errors.Is(r.err, ErrNotOpened):
		return nil, fmt.Errorf("%w: %w", ErrNotOpened, context.Cause(ctx))
	default:
		return nil, context.Cause(ctx)
	}
}

// waitOr is like wait, but an attempt without an answer returns err.
func (a *attempt) waitOr(ctx context.Context, err error) (*http.Response, error) {
	res, ownErr := a.wait(ctx)
	if ownErr != nil && ctx.Err() == nil {
		return nil, err
	}
	return res, ownErr
}

// secondAttemptAfter returns when a call is made on a new connection too. A caller that waits
// for less than twice silentAfter leaves half of its time to the new connection.
func secondAttemptAfter(ctx context.Context) time.Duration {
	deadline, ok := ctx.Deadline()
	if !ok {
		return silentAfter
	}
	return min(silentAfter, time.Until(deadline)/2)
}
