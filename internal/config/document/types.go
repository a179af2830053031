// Package document holds the environment document: the policy, models, engines,
// organisations and services that operators declare in one INI file under version
// control.
package document

import "time"

// Routing names how the backend server of a request is chosen.
type Routing string

const (
	// TwoHop sends a request from its entry to the keeper of the server, which has the
	// queue and the attempts of its servers.
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
	// ByClass reserves slots for short work and is fair between organisations.
	ByClass Queueing = "ByClass"
	// ArrivalOrder is first come, first served: the baseline for comparisons.
	ArrivalOrder Queueing = "Arrival"
)

// Policy holds the settings that apply to all models and services.
type Policy struct {
	Routing           Routing
	Queueing          Queueing
	InteractiveTokens int           // a request for at most this many tokens is short (interactive) work
	InteractiveWait   time.Duration // short work that can't start within this time is refused
	DraftWait         time.Duration // the same for drafts
	BatchWait         time.Duration // the same for batch work
	ResumeWait        time.Duration // how long a resumed attempt may wait for a slot
	Grace             time.Duration // how long an answer continues after its caller disconnected
	Keep              time.Duration // how long a finished answer is kept for callers that reconnect
	AnswerTimeout     time.Duration // for a complete answer
	HedgeAfter        time.Duration // delay before an idempotent service call is hedged
	HedgeShare        float64       // at most this fraction of calls is hedged
	RetryShare        float64       // at most this fraction of calls is retried
	LoadRate          float64       // bytes a second at which the weight store delivers weights
}

// Model is a model that callers can request by name.
type Model struct {
	Name     string `ini:"-"`
	Version  string `ini:"required"`
	Adapters []string
	Context  int // maximum tokens of prompt and answer together
	Replicas int // engines that should have it loaded; 0 for all that may load it
	Size     int // bytes of its weights
}

// Fencing says what an engine does with an order whose fencing number is lower than one
// that it has seen.
type Fencing string

const (
	// FencingEnforced means that the engine refuses the order.
	FencingEnforced Fencing = "Refuses"
	// FencingIgnored means that the engine does not check the number.
	FencingIgnored Fencing = "Ignores"
)

// Engine is a backend server that runs models.
type Engine struct {
	Name        string   `ini:"-"`
	Address     string   `ini:"required"`
	Domain      string   `ini:"required"`
	Region      string   `ini:"required"`
	Slots       int      `ini:"required"` // requests that it runs at a time
	Speed       float64  `ini:"required"` // tokens a second for each slot
	Models      []string `ini:"required"` // models that it may load
	Fencing     Fencing
	Environment string // the environment whose routers use it and send it orders
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

// Service is a group of backend servers that answer calls and run no models.
type Service struct {
	Name       string        `ini:"-"`
	Servers    []string      `ini:"required"` // NAME=IP:PORT
	Repeatable []string      // idempotent calls as METHOD PATH; a path may end in *
	Timeout    time.Duration // for one call, retries included
}

// Document is the complete content of the file.
type Document struct {
	Policy        Policy
	Models        []Model
	Engines       []Engine
	Organisations []Organisation
	Services      []Service
}

// DefaultPolicy returns the values of the keys that a document leaves out.
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
