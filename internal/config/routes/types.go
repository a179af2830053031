// Package routes holds the routing configuration in force: which service serves
// which path, for whom and under which limits.
package routes

import "time"

// Kind says how often a request of a route may run.
type Kind string

// The kinds of route.
const (
	Idempotent    Kind = "Idempotent"    // may run more than once
	NonIdempotent Kind = "NonIdempotent" // runs at most once
	Streaming     Kind = "Streaming"     // a series of events; once, unless resumable
)

// Config is one version of the routing configuration.
type Config struct {
	Version       int64
	Routes        []Route
	Services      []Service
	Limits        Limits
	Organisations []Organisation // empty: requests carry no key
}

// Route sends the requests of one host below a path prefix to services.
type Route struct {
	Name           string
	Host           string
	Prefix         string // begins and ends with a slash
	Kind           Kind
	Timeout        time.Duration // longest time a request is kept
	LatencyTarget  time.Duration `json:"Goal"`    // time within which an answer is on time
	EventGapTarget time.Duration `json:"GapGoal"` // longest pause between events that is on time
	Priority       int           // 0 is first
	Split          []Share
	MaxAttempts    int  `json:"Attempts"` // most servers that one request may be sent to
	Public         bool // needs no key
	Resumable      bool // a stream may go on at another server
	PromptHashes   bool `json:"PromptsShared"` // requests name the parts of their prompts
}

// Retryable reports whether a request of the route may run more than once.
func (r *Route) Retryable() bool {
	return r.Kind == Idempotent || r.Kind == Streaming && r.Resumable
}

// Share is a service's part of a route's traffic.
type Share struct {
	Service string
	Weight  int
}

// Service is a group of backend servers that do the same work.
type Service struct {
	Name           string
	HealthPath     string
	MaxConnections int     // of one server, from all callers
	Engine         *Engine // nil for a plain service
}

// Engine says what a service's model engines can hold and do.
type Engine struct {
	Slots           int
	MemoryTokens    int           `json:"Memory"`     // tokens
	CopiesKVCache   bool          `json:"CopiesRuns"` // on request, while they run
	SupportsBackups bool          `json:"Backups"`
	TokensPerEvent  int           `json:"EventTokens"`  // tokens of one event
	BackupTTL       time.Duration `json:"KeepsCopyFor"` // after the last part of a copy
}

// Limits bound what a caller may send. Zero means no bound.
type Limits struct {
	MaxHeader   int           // bytes
	MaxBody     int64         // bytes
	IdleTimeout time.Duration `json:"Idle"`
}

// Organisation is a customer with its keys.
type Organisation struct {
	Name     string
	Keys     []string
	Priority *int // in place of the route's
}
