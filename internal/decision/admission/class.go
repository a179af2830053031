// Package admission decides what a keeper runs next, where, and what it
// refuses. It holds the exact queue of the servers that the keeper looks after.
package admission

// Class is the kind of work of a request.
type Class string

const (
	// Resume continues an answer that lost its engine.
	Resume Class = "Resume"
	// Interactive is short work that somebody waits for.
	Interactive Class = "Interactive"
	// Draft is long work that somebody waits for.
	Draft Class = "Draft"
	// Batch is work that nobody waits for.
	Batch Class = "Batch"
)

// Classes lists all classes, the most urgent first.
var Classes = []Class{Resume, Interactive, Draft, Batch}
