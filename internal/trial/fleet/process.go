// Package fleet runs the system and its stand-ins as separate processes on loopback, for
// the demo, for manual tests and for long test runs. The processes of the system never
// start processes themselves.
package fleet

import (
	"fmt"
	"os"
	"os/exec"
	"syscall"
	"time"
)

// Process is a child process.
type Process struct {
	Name string

	cmd  *exec.Cmd
	done chan struct{}
	err  error
}

// StartProcess starts a program and appends its output to the file logPath.
func StartProcess(name, logPath, program string, args ...string) (*Process, error) {
	log, err := os.OpenFile(logPath, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return nil, fmt.Errorf("open log: %w", err)
	}
	cmd := exec.Command(program, args...)
	cmd.Stdout, cmd.Stderr = log, log
	// The kernel kills the child when this process ends, even after a crash.
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

// Kill kills the process and returns when it has ended: until then the kernel still
// accepts connections for it.
func (p *Process) Kill() {
	p.signal(syscall.SIGKILL)
	<-p.done
}

// Pause suspends the process until Continue.
func (p *Process) Pause() { p.signal(syscall.SIGSTOP) }

// Continue resumes a paused process.
func (p *Process) Continue() { p.signal(syscall.SIGCONT) }

// Stop sends SIGTERM and reports whether the process ended with exit code 0 before the
// timeout.
func (p *Process) Stop(timeout time.Duration) bool {
	p.signal(syscall.SIGTERM)
	select {
	case <-p.done:
		return p.err == nil
	case <-time.After(timeout):
		return false
	}
}

// Running reports whether the process has not ended yet.
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
