// Package admission decides which request a keeper runs next, on which server,
// and which requests it refuses. It holds the exact queue of the servers that
// the keeper manages.
package admission

// Class is the scheduling class of a request.
type Class string

const (
	// Resume is an answer that continues after its engine was lost.
	Resume Class = "Resume"
	// Interactive is short work that somebody waits for.
	Interactive Class = "Interactive"
	// Draft is long work that somebody waits for.
	Draft Class = "Draft"
	// Batch is work that nobody waits for.
	Batch Class = "Batch"
)

// Classes lists all classes in order of urgency, the most urgent first.
var Classes = []Class{Resume, Interactive, Draft, Batch}
