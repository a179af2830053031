package planner

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"time"

	"github.com/pkg/errors"

	"wisteriafield/internal/base/loop"
	"wisteriafield/internal/decision/plan"
	"wisteriafield/internal/decision/storehistory"
	"wisteriafield/internal/router/control"
	"wisteriafield/platform/kv"
)

const (
	methodPlan       = "Planner.Plan"
	callTimeout      = 500 * time.Millisecond
	peerPollInterval = 3 * time.Second
)

// planRequest asks for a plan later than a position.
type planRequest struct {
	KnownEra      int64 `json:"HaveEra,omitempty"`
	KnownRevision int64 `json:"Have"`
}

// planReply holds no plan if the peer has none that is newer.
type planReply struct{ Plan *plan.Plan }

// Register adds the method that peers call.
func (p *Planner) Register(s *control.Server) { s.Handle(methodPlan, p.handlePlan) }

// Follow watches the plan in the store until ctx ends, and fetches it from peers
// while the store is unreachable.
func (p *Planner) Follow(ctx context.Context) error {
	var after storehistory.Position
	for ctx.Err() == nil {
		v, err := p.deps.Store.Watch(ctx, p.planKey(), after)
		if errors.Is(err, kv.ErrNotFound) {
			continue
		}
		if err == nil {
			var next plan.Plan
			if err = json.Unmarshal(v.Body, &next); err == nil {
				p.apply(&next)
				after = v.Position()
				continue
			}
		}
		p.fetchFromPeer(ctx)
		loop.Sleep(ctx, peerPollInterval)
	}
	return nil
}

// fetchFromPeer fetches a newer plan from a random live router, and does nothing if
// that is this router.
func (p *Planner) fetchFromPeer(ctx context.Context) {
	live := p.deps.Members.Live(time.Now())
	if len(live) < 2 {
		return
	}
	h := live[rand.IntN(len(live))]
	if h.Name == p.deps.Members.Self().Name {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	known := positionOf(p.Current())
	var reply planReply
	if err := p.deps.Peers.Call(ctx, h.PeerAddress, methodPlan, planRequest{known.Era, known.Revision}, &reply); err == nil && reply.Plan != nil {
		p.apply(reply.Plan)
	}
}

func (p *Planner) handlePlan(_ context.Context, params json.RawMessage) (any, error) {
	req, err := control.DecodeParams[planRequest](params)
	if err != nil {
		return nil, err
	}
	known := storehistory.Position{Era: req.KnownEra, Revision: req.KnownRevision}
	if current := p.Current(); known.Before(positionOf(current)) {
		return planReply{current}, nil
	}
	return planReply{}, nil
}
