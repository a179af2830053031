package placing

import (
	"encoding/json"
	"time"

	"github.com/cespare/xxhash/v2"

	"wisteriafield/internal/backend/server"
	"wisteriafield/internal/decision/enginespeed"
	"wisteriafield/internal/decision/enginetable"
)

// maxMessageBytes keeps a datagram within one packet.
const maxMessageBytes = 1400

// message is a datagram to another router. Besides From, it has one of its fields.
type message struct {
	Question *question `json:"Q,omitempty"`
	Answer   *answer   `json:"A,omitempty"`
	Notices  []notice  `json:"N,omitempty"`
	From     string    `json:"F,omitempty"` // name of the sender of notices
	Loss     *loss     `json:"L,omitempty"`
	Down     *down     `json:"W,omitempty"`
}

type question struct {
	From     string   `json:"F"` // name of the sender
	Number   uint64   `json:"N"`
	Service  string   `json:"S"`
	Prompt   int      `json:"P"`
	Output   int      `json:"O"`
	Capacity int      `json:"C,omitempty"`
	Domain   string   `json:"D"`
	Avoid    []string `json:"A,omitempty"`
}

type answer struct {
	From   string  `json:"F"`
	Number uint64  `json:"N"` // of the question
	Offers []offer `json:"O,omitempty"`
}

type offer struct {
	Engine       engineRef `json:"E"`
	Running      int       `json:"R,omitempty"`
	QueuedTokens int       `json:"P,omitempty"`
	UsedTokens   int       `json:"U,omitempty"`
	CostMs       int       `json:"C,omitempty"`
	Warming      bool      `json:"W,omitempty"`
}

// engineRef stands for the incarnation of an engine in messages: a hash of 40 bits, since IDs may be
// long.
type engineRef uint64

func refOf(k enginetable.Key) engineRef {
	return engineRef(xxhash.Sum64String(server.Key(k).String()) >> 24)
}

// notice is the state of an attempt or a backup. One that repeats it is the same.
type notice struct {
	Attempt       uint64    `json:"I"`
	Engine        engineRef `json:"E"`
	PrefillTokens int       `json:"P,omitempty"`
	UsedTokens    int       `json:"U,omitempty"`
	Backup        bool      `json:"B,omitempty"`
	Ended         bool      `json:"X,omitempty"`
	Question      uint64    `json:"Q,omitempty"` // that has been decided
	TokenMicros   int64     `json:"M,omitempty"` // with Ended: time per output token, if it was measured
	PrefillPerMs  float64   `json:"R,omitempty"` // with Ended: prompt tokens prefilled per ms, if measured
}

func encodeNotice(a enginetable.Attempt) notice {
	return notice{Attempt: a.ID, Engine: refOf(a.Engine), PrefillTokens: a.PrefillTokens, UsedTokens: a.UsedTokens, Backup: a.Backup}
}

func (n notice) attempt(engine enginetable.Key, router string) enginetable.Attempt {
	return enginetable.Attempt{ID: n.Attempt, Engine: engine, PrefillTokens: max(0, n.PrefillTokens), UsedTokens: max(0, n.UsedTokens), Backup: n.Backup, Router: router}
}

// Receive handles a message of a peer. It must return soon: datagrams are received one at a time.
func (p *Placing) Receive(encoded []byte) {
	var m message
	if err := json.Unmarshal(encoded, &m); err != nil {
		p.cfg.Log.WithError(err).Info("invalid placement message ignored")
		return
	}
	now := time.Now()
	if len(m.Notices) > 0 {
		p.mu.Lock()
		for _, n := range m.Notices {
			p.record(n, m.From, now)
		}
		p.mu.Unlock()
	}
	if m.Question != nil {
		p.reply(*m.Question, now)
	}
	if m.Answer != nil {
		p.deliver(*m.Answer)
	}
	if m.Loss != nil {
		p.handleLoss(*m.Loss, now)
	}
	if m.Down != nil {
		p.handleDown(*m.Down, now)
	}
}

// record records a notice of a router in the table. The caller holds mu.
func (p *Placing) record(n notice, from string, now time.Time) {
	if n.Question != 0 {
		p.table.Withdraw(n.Question)
	}
	engine, known := p.resolve(n.Engine, now)
	if !known {
		return // this router has not heard of the engine yet; the notice is repeated
	}
	if !n.Ended {
		p.table.Record(n.attempt(engine, from), now)
		return
	}
	p.table.End(n.Attempt, engine, now)
	if e := p.cfg.Servers.Get(engine.ID); e != nil && from != p.cfg.Self {
		e.Load.RecordPeerSpeed(enginespeed.Speed{TokenTime: time.Duration(n.TokenMicros) * time.Microsecond, PrefillTokensPerMs: n.PrefillPerMs})
	}
}

// send sends a message to a peer. A lost one is made up for by a timeout or a repeat.
func (p *Placing) send(address string, m message) {
	encoded, err := json.Marshal(m)
	if err == nil {
		bytesSentTotal.Add(len(encoded))
		err = p.cfg.Send(address, encoded)
	}
	if err != nil {
		p.cfg.Log.WithField("address", address).WithError(err).Debug("cannot send placement message")
	}
}
