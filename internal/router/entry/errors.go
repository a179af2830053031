package entry

import (
	"time"

	"github.com/pkg/errors"

	"wisteriafield/internal/decision/resume"
)

var (
	// ErrGone means that no copy of a generation was found.
	ErrGone = errors.New("no copy of the generation is left")
	// ErrWrongGeneration means that the caller's position is not part of the
	// generation that was found.
	ErrWrongGeneration = errors.New("position is of another generation")
	// ErrKeyReused means that the key came with another body before.
	ErrKeyReused = errors.New("key was used for another request")
)

// Failure is why a generation ended without its whole answer.
type Failure struct {
	Code    resume.Code
	NotRun  bool
	RetryAt time.Time
}

// Error returns the code.
func (f *Failure) Error() string { return string(f.Code) }
