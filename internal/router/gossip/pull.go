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
)

// maxConfig bounds an unpacked configuration, in bytes; the store's values have at
// most 1 MB.
const maxConfig = 4 << 20

// packed is the configuration as peers get it, made once for each version.
type packed struct {
	mu      sync.Mutex
	version int64
	value   []byte
}

// giveConfig returns the configuration for a peer, unless the link is busy.
func (g *Gossip) giveConfig() (configReply, error) {
	g.packed.mu.Lock()
	defer g.packed.mu.Unlock()
	if version := g.cfg.State.ConfigVersion(); g.packed.version != version {
		value, err := pack(g.cfg.State.ConfigValue())
		if err != nil {
			return configReply{}, err
		}
		g.packed.version, g.packed.value = version, value
	}
	if !g.uplink.Admit(len(g.packed.value), time.Now()) {
		return configReply{Busy: true}, nil
	}
	return configReply{Packed: g.packed.value}, nil
}

// giveServers returns the changes of the server list for a peer, unless the link is
// busy.
func (g *Gossip) giveServers(req serversRequest) serversReply {
	revision, values, whole := g.cfg.State.ServerList(req.Revision)
	size := 0
	for _, v := range values {
		size += len(v.Key) + len(v.Body)
	}
	if !g.uplink.Admit(size, time.Now()) {
		return serversReply{Busy: true}
	}
	return serversReply{Revision: revision, Values: values, Whole: whole}
}

// pull fetches what a message told of, from its sender or from other peers that
// have it, since a sender's link may be busy.
func (g *Gossip) pull(m message, fetch func(from Host) (done bool)) {
	from := m.Host
	for range pullTries {
		if fetch(from) {
			return
		}
		loop.Pause(context.Background(), pullPause)
		from = g.holder(m)
	}
}

// holder picks a live peer that has what a message told of.
func (g *Gossip) holder(m message) Host {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	holders := []Host{m.Host}
	for _, p := range g.peers {
		if p.version >= m.Version && p.revision >= m.Revision && !p.stopping && now.Sub(p.seenAt) < g.plan().PeerTimeout {
			holders = append(holders, p.host)
		}
	}
	return holders[rand.IntN(len(holders))]
}

// pullConfig fetches a peer's configuration. It reports false if another peer should
// be asked.
func (g *Gossip) pullConfig(from Host) bool {
	ctx, cancel := context.WithTimeout(context.Background(), pullTimeout)
	defer cancel()
	var reply configReply
	if err := g.cfg.Caller.Call(ctx, from.Address, methodConfig, struct{}{}, &reply); err != nil {
		g.cfg.Log.WithField("peer", from.Name).WithError(err).Info("configuration not had from peer")
		return false
	}
	if reply.Busy {
		return false
	}
	value, err := unpack(reply.Packed)
	if err != nil {
		g.cfg.Log.WithField("peer", from.Name).WithError(err).Warn("configuration of peer not unpacked")
		return false
	}
	if len(value) > 0 {
		g.cfg.State.SetConfig(value, from.Name)
	}
	return true
}

// pullServers fetches a peer's server list. It reports false if another peer should
// be asked.
func (g *Gossip) pullServers(from Host) bool {
	ctx, cancel := context.WithTimeout(context.Background(), pullTimeout)
	defer cancel()
	var reply serversReply
	req := serversRequest{g.cfg.State.ServerRevision()}
	if err := g.cfg.Caller.Call(ctx, from.Address, methodServers, req, &reply); err != nil {
		g.cfg.Log.WithField("peer", from.Name).WithError(err).Info("server list not had from peer")
		return false
	}
	if reply.Busy {
		return false
	}
	g.cfg.State.ApplyServerList(req.Revision, reply.Revision, reply.Values, reply.Whole, from.Name)
	return true
}

func pack(value []byte) ([]byte, error) {
	var b bytes.Buffer
	w, err := flate.NewWriter(&b, flate.BestSpeed)
	if err != nil {
		return nil, fmt.Errorf("pack configuration: %w", err)
	}
	if _, err := w.Write(value); err != nil {
		return nil, fmt.Errorf("pack configuration: %w", err)
	}
	if err := w.Close(); err != nil {
		return nil, fmt.Errorf("pack configuration: %w", err)
	}
	return b.Bytes(), nil
}

func unpack(packed []byte) ([]byte, error) {
	value, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(packed)), maxConfig+1))
	if err != nil {
		return nil, fmt.Errorf("unpack configuration: %w", err)
	}
	if len(value) > maxConfig {
		return nil, fmt.Errorf("configuration has more than %d bytes", maxConfig)
	}
	return value, nil
}
