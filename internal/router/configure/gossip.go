package configure

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"github.com/pkg/errors"

	"wisteriafield/internal/config/manifest"
	"wisteriafield/internal/decision/storehistory"
	"wisteriafield/internal/platform/hosts"
	"wisteriafield/internal/router/control"
	"wisteriafield/internal/router/quarantine"
)

// hello carries the manifest in effect at a router, and the expected waits at the
// servers that it manages.
type hello struct {
	Name     string
	Era      int64 `json:",omitempty"`
	Revision int64
	Digest   string
	Waits    map[string]int64 `json:",omitempty"` // in ms, by model key
	Crashes  quarantine.News  // requests that crash servers
}

// partRequest asks for the body of a part.
type partRequest struct{ Digest string }

type partReply struct{ Body []byte }

// errNotHeld is sent to a peer that asks for a manifest or part that this router
// does not hold.
var errNotHeld = errors.New("not here")

// Register adds the methods that peers call.
func (f *Follower) Register(s *control.Server) {
	s.Handle(methodHello, f.handleHello)
	s.Handle(methodManifest, f.handleManifest)
	s.Handle(methodPart, f.handlePart)
}

// exchangeRevisions exchanges revisions with a peer and pulls the peer's
// configuration if it is newer.
func (f *Follower) exchangeRevisions(ctx context.Context, h hosts.Host) {
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	var reply hello
	if err := f.deps.Peers.Call(callCtx, h.PeerAddress, methodHello, f.newHello(), &reply); err != nil {
		if ctx.Err() == nil {
			f.deps.Members.RecordFailure(h.Name, time.Now())
		}
		return
	}
	f.deps.Members.Suspects.RecordSuccess(h.Name)
	f.handlePeer(ctx, h, reply)
}

// handlePeer records the waits of a peer and pulls its configuration if that is
// newer.
func (f *Follower) handlePeer(ctx context.Context, h hosts.Host, peerHello hello) {
	waits := make(map[string]time.Duration, len(peerHello.Waits))
	for modelKey, ms := range peerHello.Waits {
		waits[modelKey] = time.Duration(ms) * time.Millisecond
	}
	f.deps.RecordPeerWaits(h.Name, waits)
	if f.deps.Quarantine != nil && f.deps.Quarantine.MergeNews(peerHello.Crashes, h.Name, time.Now()) {
		f.Trigger()
	}
	if f.position().Before(storehistory.Position{Era: peerHello.Era, Revision: peerHello.Revision}) {
		if err := f.pull(ctx, h); err != nil {
			f.deps.Log.Debugf("pulling configuration from %s failed: %v", h.Name, err)
		}
	}
}

// position returns the position of the manifest in effect.
func (f *Follower) position() storehistory.Position {
	if v := f.View(); v != nil {
		return v.Position
	}
	return storehistory.Position{}
}

// pull fetches and accepts the configuration of a peer.
func (f *Follower) pull(ctx context.Context, h hosts.Host) error {
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	var m manifest.Manifest
	if err := f.deps.Peers.Call(callCtx, h.PeerAddress, methodManifest, struct{}{}, &m); err != nil {
		return fmt.Errorf("fetch manifest: %w", err)
	}
	return f.accept(ctx, &m, func(ctx context.Context, digest string) ([]byte, error) {
		callCtx, cancel := context.WithTimeout(ctx, callTimeout)
		defer cancel()
		var reply partReply
		if err := f.deps.Peers.Call(callCtx, h.PeerAddress, methodPart, partRequest{digest}, &reply); err != nil {
			return nil, fmt.Errorf("fetch part: %w", err)
		}
		return reply.Body, nil
	})
}

// newHello returns the hello of this router, with at most maxWaitsSent waits.
func (f *Follower) newHello() hello {
	h := hello{Name: f.deps.Members.Self().Name, Waits: make(map[string]int64)}
	if v := f.View(); v != nil {
		h.Era, h.Revision, h.Digest = v.Era, v.Revision, v.Digest
	}
	if f.deps.Quarantine != nil {
		h.Crashes = f.deps.Quarantine.News(time.Now())
	}
	for modelKey, wait := range f.deps.ExpectedWaits() {
		if len(h.Waits) < maxWaitsSent {
			h.Waits[modelKey] = wait.Milliseconds()
		}
	}
	return h
}

func (f *Follower) handleHello(_ context.Context, params json.RawMessage) (any, error) {
	peerHello, err := control.DecodeParams[hello](params)
	if err != nil {
		return nil, err
	}
	if h, ok := f.deps.Members.Host(peerHello.Name); ok {
		f.deps.Members.Suspects.RecordSuccess(peerHello.Name)
		go f.handlePeer(context.Background(), h, peerHello)
	}
	return f.newHello(), nil
}

func (f *Follower) handleManifest(context.Context, json.RawMessage) (any, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.manifest == nil {
		return nil, errNotHeld
	}
	return f.manifest, nil
}

func (f *Follower) handlePart(_ context.Context, params json.RawMessage) (any, error) {
	req, err := control.DecodeParams[partRequest](params)
	if err != nil {
		return nil, err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	body, ok := f.bodies[req.Digest]
	if !ok {
		return nil, errNotHeld
	}
	return partReply{body}, nil
}
