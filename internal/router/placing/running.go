package placing

import (
	"encoding/json"
	"time"

	"wisteriafield/internal/decision/enginespeed"
	"wisteriafield/internal/decision/enginetable"
)

// repeatDelay is the least time from a notice to its repeat, which is looked for every viewInterval.
const repeatDelay = enginetable.RepeatInterval - viewInterval/2

// running is an attempt of this router's, or a backup that it keeps at an engine.
type running struct {
	enginetable.Attempt
	owner    string // that offered the engine; empty without an offer
	repeatAt time.Time
}

// addressed is a notice to an owner.
type addressed struct {
	address string
	notice  notice
}

// Begin notifies the owner of an engine of an attempt, or of a backup that is kept there, and returns
// the ID by which FirstEvent and End name it. The offer is the zero value if none was used.
func (p *Placing) Begin(a enginetable.Attempt, o enginetable.Offer) uint64 {
	now := time.Now()
	a.ID = newID()
	r := &running{Attempt: a, owner: o.Owner, repeatAt: now.Add(repeatDelay)}
	n := encodeNotice(a)
	if !a.Backup {
		n.Question = o.Question
	}
	p.mu.Lock()
	p.running[a.ID] = r
	if n.Question != 0 {
		p.table.Withdraw(n.Question)
	}
	notices := p.notify(nil, r, n, now)
	p.mu.Unlock()
	p.sendAll(notices)
	return a.ID
}

// FirstEvent notifies the owner that the engine has prefilled the prompt of an attempt.
func (p *Placing) FirstEvent(id uint64) {
	now := time.Now()
	p.mu.Lock()
	var notices []addressed
	if r := p.running[id]; r != nil && r.PrefillTokens > 0 {
		r.PrefillTokens = 0
		r.repeatAt = now.Add(repeatDelay)
		notices = p.notify(nil, r, encodeNotice(r.Attempt), now)
	}
	p.mu.Unlock()
	p.sendAll(notices)
}

// End notifies the owner that an attempt has ended or a backup is no longer needed, and what was
// measured of the engine.
func (p *Placing) End(id uint64, s enginespeed.Speed) {
	now := time.Now()
	p.mu.Lock()
	var notices []addressed
	if r := p.running[id]; r != nil {
		delete(p.running, id)
		n := notice{Attempt: id, Engine: refOf(r.Engine), Ended: true, TokenMicros: s.TokenTime.Microseconds(), PrefillPerMs: s.PrefillTokensPerMs}
		notices = p.notify(nil, r, n, now)
	}
	p.mu.Unlock()
	p.sendAll(notices)
}

// notify adds a notice of an attempt to the owner that offered its engine, and to the owner
// in this router's view if that is another one. The caller holds mu.
func (p *Placing) notify(to []addressed, r *running, n notice, now time.Time) []addressed {
	if !p.cfg.Active() {
		return to
	}
	owner := ""
	if e := p.cfg.Servers.Get(r.Engine.ID); e != nil {
		owner = p.viewOf(e.Service, now).Owner(e.ID)
	}
	for _, name := range []string{r.owner, owner} {
		switch {
		case name == p.cfg.Self:
			p.record(n, p.cfg.Self, now)
		case p.addresses[name] != "":
			to = append(to, addressed{p.addresses[name], n})
		}
		if r.owner == owner {
			break
		}
	}
	return to
}

// dueRepeats returns the notices of what has run for a while since its last notice. The caller
// holds mu.
func (p *Placing) dueRepeats(now time.Time) []addressed {
	var due []addressed
	for _, r := range p.running {
		if now.Before(r.repeatAt) {
			continue
		}
		r.repeatAt = now.Add(repeatDelay)
		due = p.notify(due, r, encodeNotice(r.Attempt), now)
	}
	runningReportable.Set(float64(len(p.running)))
	return due
}

// sendAll sends notices, those to one owner together.
func (p *Placing) sendAll(notices []addressed) {
	noticesSentTotal.Add(len(notices))
	if len(notices) == 1 {
		p.send(notices[0].address, message{From: p.cfg.Self, Notices: []notice{notices[0].notice}})
		return
	}
	byAddress := make(map[string][]notice)
	for _, n := range notices {
		byAddress[n.address] = append(byAddress[n.address], n.notice)
	}
	for address, all := range byAddress {
		for _, m := range split(all) {
			m.From = p.cfg.Self
			p.send(address, m)
		}
	}
}

// split returns messages of at most maxMessageBytes with the notices.
func split(notices []notice) []message {
	const overhead = 100 // of a datagram around its notices, with the name of a router
	var messages []message
	size := maxMessageBytes
	for _, n := range notices {
		encoded, err := json.Marshal(n)
		if err != nil {
			continue
		}
		if size += len(encoded) + 1; size > maxMessageBytes {
			messages, size = append(messages, message{}), overhead+len(encoded)
		}
		last := &messages[len(messages)-1]
		last.Notices = append(last.Notices, n)
	}
	return messages
}
