package configure

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"github.com/pkg/errors"

	"wisteriafield/internal/config/manifest"
	"wisteriafield/internal/platform/hosts"
	"wisteriafield/internal/router/control"
)

// hello tells a peer what this router has, and what its servers would cost.
type hello struct {
	Name     string
	Revision int64
	Digest   string
	Waits    map[string]int64 `json:",omitempty"` // milliseconds
}

type partRequest struct{ Digest string }

type partReply struct{ Body []byte }

var errNotHere = errors.New("not here")

// Register adds the methods that peers call.
func (f *Follower) Register(s *control.Server) {
	s.Handle(methodHello, f.onHello)
	s.Handle(methodFetch, f.onFetch)
	s.Handle(methodPart, f.onPart)
}

// greet exchanges revisions with a peer and pulls what is newer there.
func (f *Follower) greet(ctx context.Context, h hosts.Host) {
	call, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	var reply hello
	if err := f.deps.Peers.Call(call, h.PeerAddress, methodHello, f.hello(), &reply); err != nil {
		if ctx.Err() == nil {
			f.deps.Members.RecordFailure(h.Name, time.Now())
		}
		return
	}
	f.deps.Members.Suspects.RecordSuccess(h.Name)
	f.learn(ctx, h, reply)
}

func (f *Follower) learn(ctx context.Context, h hosts.Host, other hello) {
	waits := make(map[string]time.Duration, len(other.Waits))
	for needs, ms := range other.Waits {
		waits[needs] = time.Duration(ms) * time.Millisecond
	}
	f.deps.RecordPeerWaits(h.Name, waits)
	if v := f.View(); v == nil && other.Revision > 0 || v != nil && other.Revision > v.Revision {
		if err := f.pull(ctx, h); err != nil {
			f.deps.Log.Debugf("pull from %s: %v", h.Name, err)
		}
	}
}

// pull takes the configuration of a peer.
func (f *Follower) pull(ctx context.Context, h hosts.Host) error {
	call, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	var m manifest.Manifest
	if err := f.deps.Peers.Call(call, h.PeerAddress, methodFetch, struct{}{}, &m); err != nil {
		return fmt.Errorf("manifest: %w", err)
	}
	return f.accept(ctx, &m, func(ctx context.Context, digest string) ([]byte, error) {
		call, cancel := context.WithTimeout(ctx, callTimeout)
		defer cancel()
		var reply partReply
		if err := f.deps.Peers.Call(call, h.PeerAddress, methodPart, partRequest{digest}, &reply); err != nil {
			return nil, fmt.Errorf("part: %w", err)
		}
		return reply.Body, nil
	})
}

func (f *Follower) hello() hello {
	h := hello{Name: f.deps.Members.Self().Name, Waits: make(map[string]int64)}
	if v := f.View(); v != nil {
		h.Revision, h.Digest = v.Revision, v.Digest
	}
	for needs, wait := range f.deps.ExpectedWaits() {
		if len(h.Waits) < maxWaitsSent {
			h.Waits[needs] = wait.Milliseconds()
		}
	}
	return h
}

func (f *Follower) onHello(_ context.Context, params json.RawMessage) (any, error) {
	other, err := control.DecodeParams[hello](params)
	if err != nil {
		return nil, err
	}
	if h, ok := f.deps.Members.Host(other.Name); ok {
		f.deps.Members.Suspects.RecordSuccess(other.Name)
		go f.learn(context.Background(), h, other)
	}
	return f.hello(), nil
}

func (f *Follower) onFetch(context.Context, json.RawMessage) (any, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.manifest == nil {
		return nil, errNotHere
	}
	return f.manifest, nil
}

func (f *Follower) onPart(_ context.Context, params json.RawMessage) (any, error) {
	req, err := control.DecodeParams[partRequest](params)
	if err != nil {
		return nil, err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	body, ok := f.bodies[req.Digest]
	if !ok {
		return nil, errNotHere
	}
	return partReply{body}, nil
}
