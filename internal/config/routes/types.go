// Package routes holds the routing configuration in effect: which service serves
// which path, for which organisations and under which limits.
package routes

import "time"

// Kind says whether a request of a route may be executed more than once.
type Kind string

// The kinds of route.
const (
	Idempotent    Kind = "Idempotent"    // may be executed more than once
	NonIdempotent Kind = "NonIdempotent" // is executed at most once
	Streaming     Kind = "Streaming"     // answered by a stream of events; at most once, unless resumable
)

// Config is one version of the routing configuration.
type Config struct {
	Version       int64
	Routes        []Route
	Services      []Service
	Limits        Limits
	Organisations []Organisation // empty: requests need no key
}

// Route sends the requests to one host name whose path has a prefix to services.
type Route struct {
	Name           string
	Host           string
	Prefix         string // begins and ends with a slash
	Kind           Kind
	Timeout        time.Duration // maximum time from the arrival of a request to the end of its answer
	LatencyTarget  time.Duration `json:"Goal"`    // an answer that takes longer is late
	EventGapTarget time.Duration `json:"GapGoal"` // an event that follows the previous one by more is late
	Priority       int           // 0 is the highest
	Split          []Share
	MaxAttempts    int  `json:"Attempts"` // maximum number of servers that one request is sent to
	Public         bool // requests need no key
	Resumable      bool // a stream may be resumed on another server
	PromptHashes   bool `json:"PromptsShared"` // requests carry hashes of the parts of their prompts
}

// Retryable reports whether a request of the route may be executed more than once.
func (r *Route) Retryable() bool {
	return r.Kind == Idempotent || r.Kind == Streaming && r.Resumable
}

// Callers leave a stream, also before its first event, after the longest of a minimum and of
// multiples of the targets.
const (
	minPatience           = 2 * time.Second
	latencyTargetPatience = 4
	gapTargetPatience     = 8
)

// StreamPatience returns how long callers of a stream wait for its next event.
func (r *Route) StreamPatience() time.Duration {
	return max(minPatience, latencyTargetPatience*r.LatencyTarget, gapTargetPatience*r.EventGapTarget)
}

// Share is the part of a route's traffic that a service gets, by weight.
type Share struct {
	Service string
	Weight  int
}

// Service is a group of backend servers that do the same work.
type Service struct {
	Name           string
	HealthPath     string
	MaxConnections int     // to one server, from all callers
	Engine         *Engine // nil unless the servers are model engines
}

// Engine describes the capacity and the features of each model engine of a service.
type Engine struct {
	Slots           int
	MemoryTokens    int           `json:"Memory"`       // capacity of the KV cache
	CopiesKVCache   bool          `json:"CopiesRuns"`   // copies the KV cache of a running attempt to another engine on request
	SupportsBackups bool          `json:"Backups"`      // can keep a backup of an attempt that runs on another engine
	TokensPerEvent  int           `json:"EventTokens"`  // tokens in one event of a stream
	BackupTTL       time.Duration `json:"KeepsCopyFor"` // how long a backup is kept after its last part arrived
}

// Limits bounds what a caller may send. Zero means no limit.
type Limits struct {
	MaxHeader   int           // bytes
	MaxBody     int64         // bytes
	IdleTimeout time.Duration `json:"Idle"`
}

// Organisation is a customer with its API keys.
type Organisation struct {
	Name     string
	Keys     []string
	Priority *int // overrides the route's priority; nil keeps it
}
