package relay

import (
	"context"
	"slices"
	"time"

	"wisteriafield/internal/backend/registry"
	"wisteriafield/internal/backend/server"
	"wisteriafield/internal/config/routes"
	"wisteriafield/internal/decision/balance"
	"wisteriafield/internal/decision/enginespeed"
	"wisteriafield/internal/decision/enginetable"
)

// Placement asks the owners of engines for engines, and notifies them of what this router runs.
type Placement interface {
	Offers(ctx context.Context, service string, q enginetable.Question) (offers []enginetable.Offer, answered int)
	Begin(a enginetable.Attempt, o enginetable.Offer) (id uint64)
	FirstEvent(id uint64)
	End(id uint64, s enginespeed.Speed)
	ReportLoss(s *server.Server) bool
	ReportDown(s *server.Server, until time.Time)
}

// chooseOffered asks owners and picks the cheapest usable offer. The choice has no entry if there
// is none. Where this router has a part of an engine's limit, no owner can offer it, so none is asked.
func (r *Relay) chooseOffered(ctx context.Context, service *routes.Service, req *server.Request, entries []*registry.Entry, candidates []balance.Engine, avoid []string) choice {
	if r.cfg.Placement == nil || len(candidates) == 0 || slices.ContainsFunc(candidates, func(c balance.Engine) bool { return c.Reserved && !c.Down }) {
		return choice{}
	}
	avoid = slices.DeleteFunc(slices.Clone(avoid), func(domain string) bool { return domain == "" })
	offers, answered := r.cfg.Placement.Offers(ctx, service.Name, enginetable.Question{
		Prompt: req.PromptTokens, Output: req.MaxOutputTokens, Capacity: service.Engine.MemoryTokens, Domain: r.cfg.Domain, Avoid: avoid,
	})
	c := pickOffered(offers, entries, candidates, req, avoid)
	c.owners = answered
	return c
}

// pickOffered picks the cheapest offer of an engine that this router may use, outside the failure
// domains to avoid.
func pickOffered(offers []enginetable.Offer, entries []*registry.Entry, candidates []balance.Engine, req *server.Request, avoid []string) choice {
	c := choice{offers: offers}
	byKey := make(map[enginetable.Key]int, len(offers))
	for _, o := range offers {
		byKey[o.Engine] = -1
	}
	for i, e := range entries {
		if _, offered := byKey[enginetable.Key(e.Key())]; offered {
			byKey[enginetable.Key(e.Key())] = i
		}
	}
	lowest := 0.0
	for _, o := range offers {
		i := byKey[o.Engine]
		if i < 0 {
			continue
		}
		e := candidates[i]
		e.Running, e.QueuedTokens, e.UsedTokens = max(e.Running, o.Running), max(e.QueuedTokens, o.QueuedTokens), max(e.UsedTokens, o.UsedTokens)
		if e.Down || e.Domain != "" && slices.Contains(avoid, e.Domain) || !balance.HasRoom(e, req.PromptTokens, req.MaxOutputTokens) {
			continue
		}
		if cost := o.Cost + balance.RouterCost(e); c.entry == nil || cost < lowest {
			c.entry, c.candidate, c.offer, lowest = entries[i], e, o, cost
		}
	}
	return c
}

// maxOutputFraction bounds the output that an attempt counts for by a fraction of its engine's KV
// cache. Callers may state any maximum, and one request must not make its engine look full.
const maxOutputFraction = 10

// placed is an attempt or a backup that owners were notified of. It is nil for others.
type placed struct {
	placement Placement
	id        uint64
	engine    *registry.Entry
	answered  bool // the first event has arrived
}

// place notifies the owner of an engine of an attempt, or of a backup without prompt tokens
// to prefill.
func (s *stream) place(e *registry.Entry, prefillTokens int, backup bool, offer enginetable.Offer) *placed {
	placement := s.relay.cfg.Placement
	if placement == nil || s.service.Engine == nil {
		return nil
	}
	a := enginetable.Attempt{Engine: enginetable.Key(e.Key()), PrefillTokens: prefillTokens, UsedTokens: s.req.PromptTokens, Backup: backup}
	if !backup {
		a.UsedTokens += min(s.req.MaxOutputTokens, s.service.Engine.MemoryTokens/maxOutputFraction)
	}
	if enginetable.Key(e.Key()) != offer.Engine {
		offer = enginetable.Offer{}
	}
	return &placed{placement: placement, id: placement.Begin(a, offer), engine: e}
}

// recordEvent notifies the owner of the first event.
func (p *placed) recordEvent() {
	if p != nil && !p.answered {
		p.answered = true
		p.placement.FirstEvent(p.id)
	}
}

// end notifies the owner of the end, and of the engine's speed if its answer has shown it.
func (p *placed) end() {
	switch {
	case p == nil:
	case p.answered:
		p.placement.End(p.id, p.engine.Load.Speed())
	default:
		p.placement.End(p.id, enginespeed.Speed{})
	}
}

// reserveBackup counts a backup of the attempt at an engine until it is released.
func (s *stream) reserveBackup(e *registry.Entry, offer enginetable.Offer) (release func()) {
	releaseTokens := e.Load.ReserveBackup(s.req.PromptTokens)
	p := s.place(e, 0, true, offer)
	return func() {
		releaseTokens()
		p.end()
	}
}

// chooseBackupOffered picks the backup's engine among the offers that the target was chosen from.
// They are not old: the target was chosen just now.
func (s *stream) chooseBackupOffered(excluded map[server.Key]bool, avoid ...string) choice {
	if len(s.choice.offers) == 0 {
		return choice{}
	}
	entries, candidates := s.relay.candidates(s.service, excluded)
	return pickOffered(s.choice.offers, entries, candidates, s.req, avoid)
}
