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
	Digest       string // of the request body
	Model        *document.Model
	Version      string
	Adapter      string
	Prompt       string
	MaxTokens    int
	Class        admission.Class
	StartBy      time.Time // when the first attempt must start
	AnswerBy     time.Time // when the answer must be complete
}

// directoryKey returns the key of the request in the directory. It is unambiguous,
// since an organisation's name has no slash.
func (r *Request) directoryKey() string { return r.Organisation.Name + "/" + r.Key }
