package entry

import (
	"time"

	"wisteriafield/internal/config/document"
	"wisteriafield/internal/decision/admission"
)

// Request is a caller's request for a generation.
type Request struct {
	Organisation *document.Organisation
	Key          string // Idempotency-Key; empty for none
	Digest       string // of the body
	Model        *document.Model
	Version      string
	Adapter      string
	Prompt       string
	MaxTokens    int
	Class        admission.Class
	StartBy      time.Time // for the first attempt
	AnswerBy     time.Time
}

// directoryKey names the request for the directory. An organisation's name has
// no slash.
func (r *Request) directoryKey() string { return r.Organisation.Name + "/" + r.Key }
