package enginetable

import (
	"container/list"
	"slices"
	"time"

	"wisteriafield/internal/decision/balance"
	"wisteriafield/internal/decision/enginespeed"
)

// Cost is the cost of placing an attempt at an engine of a speed.
type Cost func(e balance.Engine, s enginespeed.Speed, prompt, output int) float64

// Question asks an owner for engines.
type Question struct {
	Number   uint64 // drawn by the router that asks
	Prompt   int
	Output   int
	Capacity int      // KV cache tokens of an engine of the service
	Domain   string   // failure domain of the router that asks
	Avoid    []string // failure domains to use only if there are no others
}

// Candidate is an engine that an owner may offer.
type Candidate struct {
	Key     Key
	Engine  balance.Engine // its load is filled in from the table
	Speed   enginespeed.Speed
	Warming bool // the owner may not know all attempts there yet
}

// Offer is an engine that an owner offers, with its load.
type Offer struct {
	Engine Key
	Load
	Cost     float64 // in ms, as the owner knows the engine
	Warming  bool
	Owner    string // who made the offer
	Question uint64
}

// offered is an offer that counts as if its attempt had begun.
type offered struct {
	question  uint64
	engine    Key
	load      Load
	expiresAt time.Time
}

// Offer returns the best engine, and the best of another failure domain for the backup, whose
// domain is none to avoid unless there is no other. Engines without room are not offered.
func (t *Table) Offer(q Question, candidates []Candidate, now time.Time) []Offer {
	t.expire(now)
	usable := make([]Candidate, 0, len(candidates))
	costs := make([]float64, 0, len(candidates))
	median := medianSpeed(candidates)
	for _, c := range candidates {
		l := t.loads[c.Key]
		c.Engine.Running, c.Engine.QueuedTokens, c.Engine.UsedTokens = l.Running, l.QueuedTokens, l.UsedTokens
		c.Engine.Capacity, c.Engine.OtherDomain = q.Capacity, c.Engine.Domain != q.Domain
		if c.Engine.Down || !balance.HasRoom(c.Engine, q.Prompt, q.Output) {
			continue
		}
		usable = append(usable, c)
		costs = append(costs, t.cost(c.Engine, c.Speed.OrElse(median), q.Prompt, q.Output))
	}
	best := cheapest(usable, costs, func(c Candidate) bool { return !slices.Contains(q.Avoid, c.Engine.Domain) })
	if best < 0 {
		best = cheapest(usable, costs, func(Candidate) bool { return true })
	}
	if best < 0 {
		return nil
	}
	domain := usable[best].Engine.Domain
	second := cheapest(usable, costs, func(c Candidate) bool {
		return c.Engine.Domain != domain && !slices.Contains(q.Avoid, c.Engine.Domain)
	})
	if second < 0 {
		second = cheapest(usable, costs, func(c Candidate) bool { return c.Engine.Domain != domain })
	}
	// The second one is most likely taken for the backup, which uses its KV cache only.
	offers := []Offer{t.offer(q, usable[best], costs[best], Load{Running: 1, QueuedTokens: q.Prompt, UsedTokens: q.Prompt + q.Output}, now)}
	if second >= 0 {
		offers = append(offers, t.offer(q, usable[second], costs[second], Load{UsedTokens: q.Prompt}, now))
	}
	return offers
}

// medianSpeed returns the speed that counts for engines whose own is not known.
func medianSpeed(candidates []Candidate) enginespeed.Speed {
	speeds := make([]enginespeed.Speed, len(candidates))
	for i, c := range candidates {
		speeds[i] = c.Speed
	}
	return enginespeed.Median(speeds)
}

// Withdraw ends what the offers to a question count for: the router has decided.
func (t *Table) Withdraw(question uint64) {
	var next *list.Element
	for element := t.offers.Front(); element != nil; element = next {
		next = element.Next()
		if element.Value.(*offered).question == question {
			t.withdraw(element)
		}
	}
}

func (t *Table) offer(q Question, c Candidate, cost float64, counts Load, now time.Time) Offer {
	o := Offer{Engine: c.Key, Load: t.loads[c.Key], Cost: cost, Warming: c.Warming, Question: q.Number}
	t.offers.PushBack(&offered{question: q.Number, engine: c.Key, load: counts, expiresAt: now.Add(offerTTL)})
	t.add(c.Key, counts, 1)
	return o
}

func (t *Table) withdraw(element *list.Element) {
	o := element.Value.(*offered)
	t.offers.Remove(element)
	t.add(o.engine, o.load, -1)
}

// cheapest returns the index of the cheapest candidate that is allowed, or -1.
func cheapest(candidates []Candidate, costs []float64, allowed func(Candidate) bool) int {
	best := -1
	for i, c := range candidates {
		if allowed(c) && (best < 0 || costs[i] < costs[best]) {
			best = i
		}
	}
	return best
}
