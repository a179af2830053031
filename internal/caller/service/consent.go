package service

import (
	"context"
	"encoding/json"
	"time"

	"wisteriafield/internal/base/loop"
	"wisteriafield/internal/decision/claim"
	"wisteriafield/internal/router/control"
	"wisteriafield/internal/router/members"
)

const (
	methodConsent = "Claim.Consent"
	// maxConsentWait bounds how long a holder waits for the end of a dispatched
	// attempt before it replies.
	maxConsentWait = 2 * time.Second
	// consentMargin is added to that wait for the timeout of the peer call.
	consentMargin = 500 * time.Millisecond
	// dispatchGrace is how long an attempt that may still be dispatched has to
	// finish before it is abandoned in favour of another request with its key.
	dispatchGrace = 300 * time.Millisecond
)

// ConsentExchange requests consent from other routers and replies to their
// requests.
type ConsentExchange struct {
	members     *members.Members
	client      PeerClient
	attempts    *claim.AttemptTable
	incarnation string
}

// PeerClient calls methods of other routers.
type PeerClient interface {
	Call(ctx context.Context, address, method string, params, result any) error
}

var _ ConsentClient = (*ConsentExchange)(nil)

type consentRequest struct {
	Attempt     string
	Incarnation string
	WaitMillis  int64
}

type consentReply struct {
	Consent claim.Consent
	Record  claim.Record
}

// NewConsentExchange returns the consent exchange of a router, which replies from
// the router's own attempt table, and registers its method with s.
func NewConsentExchange(m *members.Members, client PeerClient, attempts *claim.AttemptTable, incarnation string, s *control.Server) *ConsentExchange {
	e := &ConsentExchange{members: m, client: client, attempts: attempts, incarnation: incarnation}
	s.Handle(methodConsent, e.handleConsent)
	return e
}

// RequestConsent asks the router that holds the claim r to abandon its attempt.
func (e *ConsentExchange) RequestConsent(ctx context.Context, r claim.Record, wait time.Duration) (claim.Consent, claim.Record, error) {
	wait = min(wait, maxConsentWait)
	req := consentRequest{Attempt: r.Attempt, Incarnation: r.Incarnation, WaitMillis: wait.Milliseconds()}
	if r.Router == e.members.Self().Name {
		reply := e.reply(ctx, req)
		return reply.Consent, reply.Record, nil
	}
	h, ok := e.members.Host(r.Router)
	if !ok {
		return claim.ConsentRefused, r, control.ErrUnreachable
	}
	ctx, cancel := context.WithTimeout(ctx, wait+consentMargin)
	defer cancel()
	var reply consentReply
	err := e.client.Call(ctx, h.PeerAddress, methodConsent, req, &reply)
	return reply.Consent, reply.Record, err
}

func (e *ConsentExchange) handleConsent(ctx context.Context, params json.RawMessage) (any, error) {
	req, err := control.DecodeParams[consentRequest](params)
	if err != nil {
		return nil, err
	}
	return e.reply(ctx, req), nil
}

// reply gives consent, or waits for the end of a dispatched attempt. The attempts
// of another incarnation are not in this table, so consent to them is refused.
func (e *ConsentExchange) reply(ctx context.Context, req consentRequest) consentReply {
	if req.Incarnation != e.incarnation {
		return consentReply{Consent: claim.ConsentRefused}
	}
	done := e.attempts.Done(req.Attempt)
	if done == nil {
		return consentReply{Consent: claim.ConsentRefused}
	}
	if e.attempts.Dispatchable(req.Attempt) {
		await(ctx, done, dispatchGrace)
	}
	consent, record := e.attempts.Abandon(req.Attempt)
	if consent == claim.ConsentRefused {
		await(ctx, done, time.Duration(req.WaitMillis)*time.Millisecond)
		consent, record = e.attempts.Abandon(req.Attempt)
	}
	return consentReply{consent, record}
}

func await(ctx context.Context, done <-chan struct{}, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-done:
	case <-timer.C:
	case <-ctx.Done():
	}
}

// askHolder requests consent from the claim's holder and sets found to the newest
// record. It returns false if the outcome stays unknown.
func (r *requestState) askHolder(ctx context.Context) bool {
	remaining := time.Until(r.waitDeadline)
	if remaining <= 0 || ctx.Err() != nil {
		return false
	}
	consent, final, err := r.runner.deps.ConsentClient.RequestConsent(ctx, *r.found, remaining)
	switch {
	case err == nil && consent == claim.ConsentGiven:
		consentsTotal.Inc()
		released := *r.found
		released.State = claim.Released
		r.found = &released
		return true
	case err == nil && consent == claim.ConsentFinished:
		r.found = &final
		return true
	}
	if !loop.Sleep(ctx, pollInterval) {
		return false
	}
	found, revision, err := r.runner.get(ctx, r.req.Key)
	if err == nil {
		r.found, r.revision = found, revision
	}
	return true
}
