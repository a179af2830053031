// Package placing has routers of a large fleet place attempts by the owners of engines. It
// asks owners for engines, answers as an owner, and notifies owners of what this router runs.
package placing

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"wisteriafield/internal/backend/registry"
	"wisteriafield/internal/backend/server"
	"wisteriafield/internal/base/loop"
	"wisteriafield/internal/decision/enginetable"
	"wisteriafield/internal/router/gossip"
)

// Limits tell which engines this router must not offer.
type Limits interface {
	Allows(s *server.Server, now time.Time) bool
	Limited(s *server.Server, now time.Time) bool
}

// Config holds the dependencies of a Placing.
type Config struct {
	Self    string // name of this router
	Servers *registry.Registry
	Limits  Limits
	Cost    enginetable.Cost
	Checks  EngineChecks
	// Active reports whether the fleet is too large for every router to know all loads.
	Active func() bool
	// Peers returns the live peers.
	Peers func(now time.Time) []gossip.Host
	// Send sends a message to a peer's Receive.
	Send func(address string, message []byte) error
	Log  *logrus.Entry
}

// Placing places attempts by owners.
type Placing struct {
	cfg Config

	mu        sync.Mutex
	table     *enginetable.Table
	views     map[string]*view // by service
	addresses map[string]string
	names     []string // of the live routers, sorted
	namesAt   time.Time
	running   map[uint64]*running
	waiting   map[uint64]chan answer        // by the number of the question
	silent    map[string]time.Time          // until when owners that did not answer are not asked
	lossAt    map[string]time.Time          // when the domain of a service was checked last
	excluded  map[enginetable.Key]time.Time // until when engines that a router reported as down are not offered
}

// New returns a Placing.
func New(cfg Config) *Placing {
	return &Placing{
		cfg: cfg, table: enginetable.New(cfg.Cost), views: make(map[string]*view),
		running: make(map[uint64]*running), waiting: make(map[uint64]chan answer), silent: make(map[string]time.Time),
		lossAt: make(map[string]time.Time), excluded: make(map[enginetable.Key]time.Time),
	}
}

// Run repeats to the owners what this router runs until ctx ends.
func (p *Placing) Run(ctx context.Context) error {
	refresh := func(now time.Time) {
		if p.cfg.Active() {
			p.refreshViews(now)
		}
	}
	refresh(time.Now())
	if loop.Sleep(ctx, rand.N(viewInterval)) { // the routers of a fleet may start at once
		loop.Every(ctx, viewInterval, refresh)
	}
	return nil
}

// newID returns a random number that is short enough for a datagram.
func newID() uint64 { return rand.Uint64() >> 24 }

func keyOf(k server.Key) enginetable.Key { return enginetable.Key(k) }
