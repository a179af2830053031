// Package document holds the environment document: what operators declare in
// one INI file under version control.
package document

import "time"

// Routing names how a request finds its server.
type Routing string

const (
	// TwoHop sends a request through the keeper of the server.
	TwoHop Routing = "TwoHop"
	// PowerOfTwo lets each entry choose the less loaded of two random servers
	// by their lagging load reports.
	PowerOfTwo Routing = "PowerOfTwo"
	// WeightedCost lets each entry choose servers at random, weighted by the
	// inverse of their advertised cost.
	WeightedCost Routing = "WeightedCost"
)

// Queueing names how a keeper orders waiting work.
type Queueing string

const (
	// ByClass keeps slots for short work and is fair between organisations.
	ByClass Queueing = "ByClass"
	// ArrivalOrder serves first come, first served. It is the baseline.
	ArrivalOrder Queueing = "Arrival"
)

// Policy holds the settings that are the same for all models.
type Policy struct {
	Routing           Routing
	Queueing          Queueing
	InteractiveTokens int           // work of at most so many tokens is short
	InteractiveWait   time.Duration // short work is refused if it can't start by then
	DraftWait         time.Duration
	BatchWait         time.Duration
	ResumeWait        time.Duration
	Grace             time.Duration // how long an answer goes on without its caller
	Keep              time.Duration // how long a finished answer is kept
	AnswerTimeout     time.Duration // for a whole answer
	HedgeAfter        time.Duration // for repeatable service calls
	HedgeShare        float64       // at most this part of calls is hedged
	RetryShare        float64       // at most this part of calls is retried
	LoadRate          float64       // bytes a second that the weight store gives
}

// Model is a model that callers can name.
type Model struct {
	Name     string `ini:"-"`
	Version  string `ini:"required"`
	Adapters []string
	Context  int // most tokens of prompt and answer
	Replicas int // engines that should carry it; 0 for all that may
	Size     int // bytes of its weights
}

// Fencing says what an engine does with an order that has an old number.
type Fencing string

const (
	// FencingEnforced means that the engine refuses it.
	FencingEnforced Fencing = "Refuses"
	// FencingIgnored means that the engine does not look at the number.
	FencingIgnored Fencing = "Ignores"
)

// Engine is a backend server that runs models.
type Engine struct {
	Name        string   `ini:"-"`
	Address     string   `ini:"required"`
	Domain      string   `ini:"required"`
	Region      string   `ini:"required"`
	Slots       int      `ini:"required"` // requests it runs at a time
	Speed       float64  `ini:"required"` // tokens a second of one slot
	Models      []string `ini:"required"` // that it may carry
	Fencing     Fencing
	Environment string // whose routers use it and give it orders
}

// Organisation is a customer.
type Organisation struct {
	Name            string   `ini:"-"`
	Keys            []string `ini:"required"` // SHA-256 of each key, in hex
	Weight          float64
	TokensPerSecond float64
	InFlight        int
	Models          []string // allowed; empty for all
	Services        []string // allowed; empty for all
}

// Service is a plain service.
type Service struct {
	Name       string        `ini:"-"`
	Servers    []string      `ini:"required"` // NAME=IP:PORT
	Repeatable []string      // METHOD PATH, a path may end in *
	Timeout    time.Duration // for one call
}

// Document is the whole file.
type Document struct {
	Policy        Policy
	Models        []Model
	Engines       []Engine
	Organisations []Organisation
	Services      []Service
}

// DefaultPolicy returns what a document may leave out.
func DefaultPolicy() Policy {
	return Policy{
		Routing:           TwoHop,
		Queueing:          ByClass,
		InteractiveTokens: 64,
		InteractiveWait:   2 * time.Second,
		DraftWait:         10 * time.Second,
		BatchWait:         60 * time.Second,
		ResumeWait:        30 * time.Second,
		Grace:             15 * time.Second,
		Keep:              5 * time.Minute,
		AnswerTimeout:     15 * time.Minute,
		HedgeAfter:        250 * time.Millisecond,
		HedgeShare:        0.05,
		RetryShare:        0.1,
		LoadRate:          1 << 30,
	}
}
