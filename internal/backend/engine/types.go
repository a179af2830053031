package engine

import "time"

// Request asks an engine to generate an answer, or to continue one after the accepted tokens.
type Request struct {
	Generation string
	Attempt    string
	Model      string
	Version    string
	Adapter    string
	Prompt     string
	Accepted   []string
	MaxTokens  int // of the complete answer, including the accepted tokens
	Priority   int // higher values are served first
}

// Line is one line of an engine's stream.
type Line struct {
	Position int
	Text     string
	Done     string // finish reason, on the last line only
}

// Progress is the progress of an attempt.
type Progress struct {
	Position int
	Waiting  bool // the attempt has no slot yet
}

// Load is an engine's load report, which lags behind its actual load.
type Load struct {
	At      time.Time
	Running int
	Waiting int
	Slots   int
	Leaving bool
}

// State is the state of an engine: what it serves and under which order.
type State struct {
	Models   map[string]string // version by model
	Adapters map[string][]string
	Role     string
	Fencing  int64
	Leaving  bool
	Running  int // requests, including waiting ones
}

// Order is the desired state of an engine. Engines reject an order whose fencing number
// is lower than one that they have seen.
type Order struct {
	Fencing  int64
	Models   map[string]string
	Adapters map[string][]string
	Role     string
}
