package gossip

import (
	"bytes"
	"compress/flate"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"sync"
	"time"

	"wisteriafield/internal/base/loop"
	"wisteriafield/internal/router/discovery"
)

// maxConfigBytes bounds a decompressed configuration. The store's values have at most
// 1 MB.
const maxConfigBytes = 4 << 20

// compressedConfig caches the compressed configuration, built once for each version.
type compressedConfig struct {
	mu      sync.Mutex
	version int64
	value   []byte
}

// serveConfig returns the configuration in effect to a peer, unless the link is busy.
func (g *Gossip) serveConfig() (configReply, error) {
	g.compressed.mu.Lock()
	defer g.compressed.mu.Unlock()
	if version := g.cfg.State.ConfigVersion(); g.compressed.version != version {
		value, err := compress(g.cfg.State.ConfigValue())
		if err != nil {
			return configReply{}, err
		}
		g.compressed.version, g.compressed.value = version, value
	}
	if !g.uplink.Admit(len(g.compressed.value), time.Now()) {
		return configReply{Busy: true}, nil
	}
	return configReply{Compressed: g.compressed.value}, nil
}

// serveServerList returns to a peer the changes of the server list since its position,
// or the full list, unless the link is busy.
func (g *Gossip) serveServerList(req serversRequest) serversReply {
	list := g.cfg.State.ServerList(inEra(req.Era, req.Revision, g.cfg.State.ServerPosition().Era))
	size := 0
	for _, v := range list.Values {
		size += len(v.Key) + len(v.Body)
	}
	if !g.uplink.Admit(size, time.Now()) {
		return serversReply{Busy: true}
	}
	reply := serversReply{Revision: list.At.Revision, Era: list.At.Era, Values: list.Values, Full: list.Full}
	if !list.Gap.IsZero() {
		reply.Gap = &list.Gap
	}
	return reply
}

// pull fetches the newer state that a message announces: first from its sender, whose
// link may be busy, then from any peer that has it, until this router has it.
func (g *Gossip) pull(m message, has func() bool, fetch func(from Host) (done bool)) {
	from := m.Host
	for range maxPullAttempts {
		if has() || fetch(from) {
			return
		}
		loop.Sleep(context.Background(), pullRetryDelay)
		from = g.pickSource(m)
	}
}

// pickSource picks the sender of a message or a live peer that has the state it
// announces.
func (g *Gossip) pickSource(m message) Host {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	position := m.position(g.cfg.State.ServerPosition().Era)
	sources := []Host{m.Host}
	for _, p := range g.peers {
		if p.version >= m.Version && !p.position.Before(position) && !p.stopping && now.Sub(p.lastHeartbeatAt) < g.plan().PeerTimeout {
			sources = append(sources, p.host)
		}
	}
	return sources[rand.IntN(len(sources))]
}

// pullConfig fetches a peer's configuration and applies it. It returns false if the
// fetch should be retried with another peer.
func (g *Gossip) pullConfig(from Host) bool {
	ctx, cancel := context.WithTimeout(context.Background(), pullTimeout)
	defer cancel()
	var reply configReply
	if err := g.cfg.Caller.Call(ctx, from.Address, methodConfig, struct{}{}, &reply); err != nil {
		g.cfg.Log.WithField("peer", from.Name).WithError(err).Info("cannot fetch configuration from peer")
		return false
	}
	if reply.Busy {
		g.cfg.Log.WithField("peer", from.Name).Info("peer's link is too busy to send the configuration")
		return false
	}
	value, err := decompress(reply.Compressed)
	if err != nil {
		g.cfg.Log.WithField("peer", from.Name).WithError(err).Warn("cannot decompress configuration from peer")
		return false
	}
	if len(value) > 0 {
		g.cfg.State.SetConfig(value, from.Name)
	}
	return true
}

// pullServerList fetches a peer's server list and applies it. It returns false if the
// fetch should be retried with another peer.
func (g *Gossip) pullServerList(from Host) bool {
	ctx, cancel := context.WithTimeout(context.Background(), pullTimeout)
	defer cancel()
	var reply serversReply
	own := g.cfg.State.ServerPosition()
	req := serversRequest{Revision: own.Revision, Era: own.Era}
	if err := g.cfg.Caller.Call(ctx, from.Address, methodServers, req, &reply); err != nil {
		g.cfg.Log.WithField("peer", from.Name).WithError(err).Info("cannot fetch server list from peer")
		return false
	}
	if reply.Busy {
		return false
	}
	list := discovery.ServerList{At: inEra(reply.Era, reply.Revision, own.Era), Values: reply.Values, Full: reply.Full}
	if reply.Gap != nil {
		list.Gap = *reply.Gap
	}
	for i, v := range list.Values {
		list.Values[i].Era = inEra(v.Era, v.Revision, list.At.Era).Era
	}
	g.cfg.State.ApplyServerList(own, list, from.Name)
	return true
}

func compress(value []byte) ([]byte, error) {
	var b bytes.Buffer
	w, err := flate.NewWriter(&b, flate.BestSpeed)
	if err != nil {
		return nil, fmt.Errorf("compress configuration: %w", err)
	}
	if _, err := w.Write(value); err != nil {
		return nil, fmt.Errorf("compress configuration: %w", err)
	}
	if err := w.Close(); err != nil {
		return nil, fmt.Errorf("compress configuration: %w", err)
	}
	return b.Bytes(), nil
}

func decompress(compressed []byte) ([]byte, error) {
	value, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(compressed)), maxConfigBytes+1))
	if err != nil {
		return nil, fmt.Errorf("decompress configuration: %w", err)
	}
	if len(value) > maxConfigBytes {
		return nil, fmt.Errorf("decompressed configuration has more than %d bytes", maxConfigBytes)
	}
	return value, nil
}
