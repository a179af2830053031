// Package fleet runs the system and its stand-ins as separate processes on
// loopback, for the demo, for trying things by hand and for long runs. The
// system's own processes start no processes; this tool does.
package fleet

import (
	"fmt"
	"os"
	"os/exec"
	"syscall"
	"time"
)

// Process is one process that the fleet started.
type Process struct {
	Name string

	cmd  *exec.Cmd
	done chan struct{}
	err  error
}

// StartProcess starts a program whose output goes to a file.
func StartProcess(name, logPath, program string, args ...string) (*Process, error) {
	log, err := os.OpenFile(logPath, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return nil, fmt.Errorf("open log: %w", err)
	}
	cmd := exec.Command(program, args...)
	cmd.Stdout, cmd.Stderr = log, log
	// The process ends with this one, whatever happens to it.
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL, Setpgid: true}
	if err := cmd.Start(); err != nil {
		_ = log.Close()
		return nil, fmt.Errorf("start %s: %w", name, err)
	}
	p := &Process{Name: name, cmd: cmd, done: make(chan struct{})}
	go func() {
		p.err = cmd.Wait()
		_ = log.Close()
		close(p.done)
	}()
	return p, nil
}

// PID returns the process id.
func (p *Process) PID() int { return p.cmd.Process.Pid }

// Kill ends the process without warning and returns when it is gone: until then the
// kernel still takes connections for it.
func (p *Process) Kill() {
	p.signal(syscall.SIGKILL)
	<-p.done
}

// Pause stops the process until Continue.
func (p *Process) Pause() { p.signal(syscall.SIGSTOP) }

// Continue ends a pause.
func (p *Process) Continue() { p.signal(syscall.SIGCONT) }

// Stop asks the process to end and reports whether it did in time with exit
// code 0.
func (p *Process) Stop(within time.Duration) bool {
	p.signal(syscall.SIGTERM)
	select {
	case <-p.done:
		return p.err == nil
	case <-time.After(within):
		return false
	}
}

// Running reports whether the process has not ended.
func (p *Process) Running() bool {
	select {
	case <-p.done:
		return false
	default:
		return true
	}
}

func (p *Process) signal(s syscall.Signal) {
	if p.Running() {
		_ = p.cmd.Process.Signal(s)
	}
}
