package service

import (
	"context"
	"encoding/json"
	"time"

	"wisteriafield/internal/decision/claim"
	"wisteriafield/internal/router/control"
	"wisteriafield/internal/router/members"
)

const (
	methodConsent = "Claim.Consent"
	// maxConsentWait bounds how long a holder keeps the question open.
	maxConsentWait = 2 * time.Second
	consentMargin  = 500 * time.Millisecond
	// openPatience is how long an attempt that is about to be sent may go on
	// before it is given up to another request with its key.
	openPatience = 300 * time.Millisecond
)

// ConsentExchange asks other routers for consent, and answers them.
type ConsentExchange struct {
	members     *members.Members
	calls       PeerClient
	book        *claim.AttemptTable
	incarnation string
}

// PeerClient calls other routers.
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

// NewConsentExchange returns the peers of a router, whose own book it answers from.
func NewConsentExchange(m *members.Members, calls PeerClient, book *claim.AttemptTable, incarnation string, s *control.Server) *ConsentExchange {
	p := &ConsentExchange{members: m, calls: calls, book: book, incarnation: incarnation}
	s.Handle(methodConsent, p.onConsent)
	return p
}

// RequestConsent asks the holder of a claim.
func (p *ConsentExchange) RequestConsent(ctx context.Context, r claim.Record, wait time.Duration) (claim.Consent, claim.Record, error) {
	wait = min(wait, maxConsentWait)
	req := consentRequest{Attempt: r.Attempt, Incarnation: r.Incarnation, WaitMillis: wait.Milliseconds()}
	if r.Router == p.members.Self().Name {
		reply := p.answer(ctx, req)
		return reply.Consent, reply.Record, nil
	}
	h, ok := p.members.Host(r.Router)
	if !ok {
		return claim.ConsentRefused, r, control.ErrUnreachable
	}
	ctx, cancel := context.WithTimeout(ctx, wait+consentMargin)
	defer cancel()
	var reply consentReply
	err := p.calls.Call(ctx, h.PeerAddress, methodConsent, req, &reply)
	return reply.Consent, reply.Record, err
}

func (p *ConsentExchange) onConsent(ctx context.Context, params json.RawMessage) (any, error) {
	req, err := control.DecodeParams[consentRequest](params)
	if err != nil {
		return nil, err
	}
	return p.answer(ctx, req), nil
}

// answer gives consent, or waits for the end of a dispatched attempt. Another
// incarnation's attempts are not in this book, so nothing is said of them.
func (p *ConsentExchange) answer(ctx context.Context, req consentRequest) consentReply {
	if req.Incarnation != p.incarnation {
		return consentReply{Consent: claim.ConsentRefused}
	}
	done := p.book.Done(req.Attempt)
	if done == nil {
		return consentReply{Consent: claim.ConsentRefused}
	}
	if p.book.Dispatchable(req.Attempt) {
		await(ctx, done, openPatience)
	}
	consent, record := p.book.Abandon(req.Attempt)
	if consent == claim.ConsentRefused {
		await(ctx, done, time.Duration(req.WaitMillis)*time.Millisecond)
		consent, record = p.book.Abandon(req.Attempt)
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
