package connpool

import (
	"context"
	"errors"
	"fmt"
	"net/http"
)

// requestClass is the class of the connections for callers' requests.
const requestClass = "request"

// ErrNotOpened means that no connection could be opened, so that nothing was sent.
var ErrNotOpened = errors.New("connection was not opened")

// Request is a caller's request that may be repeated.
type Request struct {
	Address string
	ID      string // of the attempt, which its answer names
	// NewRequest returns the request. It is called for each connection.
	NewRequest func() (*http.Request, error)
	// Named reports whether an answer names the attempt. Connections of others are not kept.
	Named func(res *http.Response) bool
	// MayRepeat is asked before the request is sent again, at most once.
	MayRepeat func() bool
}

// Send sends a request and returns its answer, and whether it came on a kept connection, where it
// may be the answer to an earlier request. If a kept connection ends before the answer, the
// request is sent once more on a new one. The error wraps ErrNotOpened only if nothing was sent.
func (c *Client) Send(ctx context.Context, r Request) (res *http.Response, reused bool, err error) {
	call := Call{Address: r.Address, Class: requestClass, NewRequest: r.NewRequest, id: r.ID, named: r.Named}
	kept := c.take(call)
	if kept == nil {
		res, err = c.start(ctx, call, nil).wait(ctx)
		return res, false, err
	}
	res, err = c.start(ctx, call, kept).wait(ctx)
	if err == nil || !errors.Is(err, errEnded) || ctx.Err() != nil || !r.MayRepeat() {
		return res, true, err
	}
	idleRacesTotal.Inc()
	res, repeatErr := c.start(ctx, call, nil).wait(ctx)
	if repeatErr != nil {
		return nil, false, fmt.Errorf("%w; sent again: %v", err, repeatErr)
	}
	return res, false, nil
}
