package placing

import (
	"maps"
	"math/rand/v2"
	"time"

	"wisteriafield/internal/backend/registry"
	"wisteriafield/internal/backend/server"
	"wisteriafield/internal/decision/enginetable"
)

const (
	// lossInterval is the least time between two checks of a failure domain after a loss there.
	lossInterval = 400 * time.Millisecond
	// maxDownTime bounds how long a peer's report keeps an engine out of use.
	maxDownTime = 10 * time.Second
)

// EngineChecks are checks of engines, and what follows if one is down. Neither call waits.
type EngineChecks interface {
	// CheckEngines probes some of the engines. For one that is down, it calls ReportDown.
	CheckEngines(engines []*registry.Entry)
	// EngineUnresponsive makes the streams in an engine's failure domain probe their engines.
	EngineUnresponsive(e *registry.Entry)
}

// loss says that an engine of a failure domain was lost.
type loss struct {
	Service string `json:"S"`
	Domain  string `json:"D"`
	Relayed bool   `json:"R,omitempty"` // by an owner, to all owners
}

// down says that an engine does not answer.
type down struct {
	Engine engineRef `json:"E"`
	Ms     int64     `json:"M"`
}

// ReportLoss tells owners that an engine was lost, so that each checks those that it owns in the
// failure domain. It returns false if no owner can be told.
func (p *Placing) ReportLoss(s *server.Server) bool {
	if !p.cfg.Active() {
		return false
	}
	now := time.Now()
	l := loss{Service: s.Service, Domain: s.Domain}
	p.mu.Lock()
	v := p.viewOf(s.Service, now)
	owns := len(v.engines) > 0
	var addresses []string
	if !owns { // two, since a datagram may be lost and an owner may be dead
		for _, name := range v.Pick(2, func(name string) bool { return p.addresses[name] == "" || now.Before(p.silent[name]) }, rand.Float64) {
			addresses = append(addresses, p.addresses[name])
		}
	}
	p.mu.Unlock()
	if owns {
		p.handleLoss(l, now)
		return true
	}
	for _, address := range addresses {
		p.send(address, message{Loss: &l})
	}
	return len(addresses) > 0
}

// handleLoss checks the engines of a failure domain that this router owns, and tells the other owners
// unless one has done so.
func (p *Placing) handleLoss(l loss, now time.Time) {
	p.mu.Lock()
	key := l.Service + " " + l.Domain
	if now.Sub(p.lossAt[key]) < lossInterval || !p.cfg.Active() {
		p.mu.Unlock()
		return
	}
	maps.DeleteFunc(p.lossAt, func(_ string, at time.Time) bool { return now.Sub(at) >= lossInterval })
	p.lossAt[key] = now
	v := p.viewOf(l.Service, now)
	var owned []*registry.Entry
	for _, e := range v.engines {
		if e.Domain == l.Domain {
			owned = append(owned, e)
		}
	}
	var addresses []string
	for _, name := range v.Names() {
		if address := p.addresses[name]; address != "" && !l.Relayed {
			addresses = append(addresses, address)
		}
	}
	p.mu.Unlock()
	lossChecksTotal.Inc()
	l.Relayed = true
	for _, address := range addresses {
		p.send(address, message{Loss: &l})
	}
	p.cfg.Checks.CheckEngines(owned)
}

// ReportDown tells the routers that use an engine that it does not answer, if this router owns it.
// Otherwise it tells the owner, who offers it no more and checks it.
func (p *Placing) ReportDown(s *server.Server, until time.Time) {
	if !p.cfg.Active() {
		return
	}
	now := time.Now()
	key := keyOf(s.Key())
	var addresses []string
	p.mu.Lock()
	owner := p.viewOf(s.Service, now).Owner(s.ID)
	if owner == p.cfg.Self {
		for _, name := range p.table.Routers(key) {
			if address := p.addresses[name]; address != "" {
				addresses = append(addresses, address)
			}
		}
	} else if address := p.addresses[owner]; address != "" {
		addresses = append(addresses, address)
	}
	p.mu.Unlock()
	for _, address := range addresses {
		p.send(address, message{Down: &down{Engine: refOf(key), Ms: until.Sub(now).Milliseconds()}})
	}
}

// handleDown handles a report of a router that uses an engine, or of its owner. An owner does not take
// the word of one router, which may be cut off: the others are told after its own check.
func (p *Placing) handleDown(d down, now time.Time) {
	p.mu.Lock()
	key, known := p.resolve(d.Engine, now)
	p.mu.Unlock()
	e := p.cfg.Servers.Get(key.ID)
	if !known || e == nil || keyOf(e.Key()) != key || e.Load.State(now).Down || !p.cfg.Active() {
		return
	}
	until := now.Add(min(time.Duration(max(0, d.Ms))*time.Millisecond, maxDownTime))
	p.mu.Lock()
	owned := p.viewOf(e.Service, now).Owner(e.ID) == p.cfg.Self
	excluded := now.Before(p.excluded[key])
	if owned {
		maps.DeleteFunc(p.excluded, func(_ enginetable.Key, until time.Time) bool { return !now.Before(until) })
		p.excluded[key] = until
	}
	p.mu.Unlock()
	switch {
	case owned && !excluded:
		p.cfg.Checks.CheckEngines([]*registry.Entry{e})
	case !owned:
		e.Load.MarkDown(until)
		p.cfg.Checks.EngineUnresponsive(e)
	}
}
