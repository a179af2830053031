package entry

import (
	"time"

	"github.com/pkg/errors"

	"wisteriafield/internal/decision/resume"
)

var (
	// ErrGone means that no replica of a generation was found.
	ErrGone = errors.New("no replica of the generation is left")
	// ErrWrongGeneration means that the caller's position is not part of the
	// generation that was found.
	ErrWrongGeneration = errors.New("position belongs to another generation")
	// ErrKeyReused means that the idempotency key was used with another request
	// body before.
	ErrKeyReused = errors.New("idempotency key was used with another request")
)

// Failure is the reason why a generation ended without a complete answer.
type Failure struct {
	Code    resume.Code
	NotRun  bool      // no attempt was started
	RetryAt time.Time // when the caller may retry
}

// Error returns the failure code.
func (f *Failure) Error() string { return string(f.Code) }
