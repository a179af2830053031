package placing

import (
	"context"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"wisteriafield/internal/decision/enginetable"
)

const (
	// ownersAsked is how many owners are asked besides this router's own table.
	ownersAsked = 2
	// askTimeout bounds the wait for their answers, which take a round trip of 1 to 3 ms, and
	// longer where a host with a seventh of a core is busy.
	askTimeout = 25 * time.Millisecond
	// silentBackoff is how long an owner that did not answer is not asked by this router. It is
	// short, since the engines of such an owner are not offered meanwhile.
	silentBackoff = 2 * time.Second
)

// Offers asks owners of a service's engines for engines, and returns the offers and how many owners
// answered, this router included. Offers of owners that may not know all attempts yet are there
// only if there are no others. It returns none in a small fleet.
func (p *Placing) Offers(ctx context.Context, service string, q enginetable.Question) (offers []enginetable.Offer, answered int) {
	if !p.cfg.Active() {
		return nil, 0
	}
	now := time.Now()
	q.Number = newID()
	answers := make(chan answer, ownersAsked)
	p.mu.Lock()
	v := p.viewOf(service, now)
	if len(v.engines) > 0 {
		offers, answered = p.offerOwn(v, q, now), 1
	}
	asked := v.Pick(ownersAsked, func(name string) bool {
		return p.addresses[name] == "" || now.Before(p.silent[name])
	}, rand.Float64)
	var addresses []string
	for _, name := range asked {
		addresses = append(addresses, p.addresses[name])
	}
	if len(asked) > 0 {
		p.waiting[q.Number] = answers
	}
	p.mu.Unlock()
	defer p.stopWaiting(q.Number)
	for _, address := range addresses {
		questionsTotal.Inc()
		p.send(address, message{Question: &question{
			From: p.cfg.Self, Number: q.Number, Service: service, Prompt: q.Prompt, Output: q.Output, Capacity: q.Capacity, Domain: q.Domain, Avoid: q.Avoid,
		}})
	}
	timeout := time.NewTimer(askTimeout)
	defer timeout.Stop()
	for silent := slices.Clone(asked); len(silent) > 0; {
		select {
		case a := <-answers:
			at := slices.Index(silent, a.From)
			if at < 0 {
				continue
			}
			silent = slices.Delete(silent, at, at+1)
			answersTotal.Inc()
			answered++
			offers = append(offers, p.decode(a)...)
			continue
		case <-timeout.C:
			timeoutsTotal.Add(len(silent))
			p.recordSilent(silent, time.Now())
		case <-ctx.Done():
		}
		break
	}
	if slices.ContainsFunc(offers, func(o enginetable.Offer) bool { return !o.Warming }) {
		offers = slices.DeleteFunc(offers, func(o enginetable.Offer) bool { return o.Warming })
	}
	return offers, answered
}

// decode returns the offers of an answer for engines that this router knows.
func (p *Placing) decode(a answer) []enginetable.Offer {
	p.mu.Lock()
	defer p.mu.Unlock()
	var offers []enginetable.Offer
	for _, o := range a.Offers {
		engine, known := p.resolve(o.Engine, time.Now())
		if !known {
			continue
		}
		offers = append(offers, enginetable.Offer{
			Engine: engine, Cost: float64(o.CostMs), Warming: o.Warming, Owner: a.From, Question: a.Number,
			Load: enginetable.Load{Running: max(0, o.Running), QueuedTokens: max(0, o.QueuedTokens), UsedTokens: max(0, o.UsedTokens)},
		})
	}
	return offers
}

// offerOwn returns the offers of this router's own table. The caller holds mu.
func (p *Placing) offerOwn(v *view, q enginetable.Question, now time.Time) []enginetable.Offer {
	offers := p.table.Offer(q, p.candidates(v, now), now)
	for i := range offers {
		offers[i].Owner = p.cfg.Self
	}
	return offers
}

// recordSilent records owners that did not answer.
func (p *Placing) recordSilent(names []string, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	maps.DeleteFunc(p.silent, func(_ string, until time.Time) bool { return !now.Before(until) })
	for _, name := range names {
		p.silent[name] = now.Add(silentBackoff)
	}
}

func (p *Placing) stopWaiting(number uint64) {
	p.mu.Lock()
	delete(p.waiting, number)
	p.mu.Unlock()
}

// deliver passes an answer to the question that waits for it.
func (p *Placing) deliver(a answer) {
	p.mu.Lock()
	defer p.mu.Unlock()
	select {
	case p.waiting[a.Number] <- a: // blocks forever without a question
	default: // it is late or came twice
	}
}

// reply answers a peer's question, also without an offer, so that the peer does not wait.
func (p *Placing) reply(q question, now time.Time) {
	p.mu.Lock()
	v := p.viewOf(q.Service, now)
	address := p.addresses[q.From]
	var offers []enginetable.Offer
	if address != "" && p.cfg.Active() {
		offers = p.offerOwn(v, enginetable.Question{Number: q.Number, Prompt: q.Prompt, Output: q.Output, Capacity: q.Capacity, Domain: q.Domain, Avoid: q.Avoid}, now)
	}
	p.mu.Unlock()
	if address == "" {
		return // this router does not know the peer yet
	}
	offersMadeTotal.Add(len(offers))
	a := &answer{From: p.cfg.Self, Number: q.Number}
	for _, o := range offers {
		a.Offers = append(a.Offers, offer{Engine: refOf(o.Engine), Running: o.Running, QueuedTokens: o.QueuedTokens, UsedTokens: o.UsedTokens, CostMs: int(o.Cost), Warming: o.Warming})
	}
	p.send(address, message{Answer: a})
}
