package engine

import "time"

// Request asks an engine to generate, or to continue after accepted tokens.
type Request struct {
	Generation string
	Attempt    string
	Model      string
	Version    string
	Adapter    string
	Prompt     string
	Accepted   []string
	MaxTokens  int // of the whole answer, accepted tokens included
	Priority   int // a higher one goes first
}

// Line is one line of an engine's stream.
type Line struct {
	Position int
	Text     string
	Done     string // the reason, on the last line
}

// Progress is how far an attempt is.
type Progress struct {
	Position int
	Waiting  bool // it has no slot yet
}

// Load is a lagging load report.
type Load struct {
	At      time.Time
	Running int
	Waiting int
	Slots   int
	Leaving bool
}

// State is what an engine carries.
type State struct {
	Models   map[string]string // model to version
	Adapters map[string][]string
	Role     string
	Fencing  int64
	Leaving  bool
	Running  int // requests, waiting ones included
}

// Order is the wanted end state of an engine.
type Order struct {
	Fencing  int64
	Models   map[string]string
	Adapters map[string][]string
	Role     string
}
