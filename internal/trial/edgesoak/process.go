package edgesoak

import (
	"sync/atomic"

	"wisteriafield/internal/trial/fleet"
)

// restartable is a program whose process is replaced at each restart, while other
// goroutines watch it. Its methods apply to the current process.
type restartable struct {
	current atomic.Pointer[fleet.Process]
}

func (r *restartable) process() *fleet.Process { return r.current.Load() }

func (r *restartable) setProcess(p *fleet.Process) { r.current.Store(p) }

// PID returns the process id.
func (r *restartable) PID() int { return r.process().PID() }

// Running reports whether the process has not ended yet.
func (r *restartable) Running() bool { return r.process().Running() }

// Kill kills the process and returns when it has ended.
func (r *restartable) Kill() { r.process().Kill() }

// Continue resumes a paused process.
func (r *restartable) Continue() { r.process().Continue() }
