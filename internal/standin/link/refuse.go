package link

import (
	"net"
	"syscall"
	"time"

	"github.com/pkg/errors"
)

const targetPollInterval = 10 * time.Millisecond

// followTarget stops listening if the target refuses connections, until it accepts them.
func (l *Link) followTarget() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.refuses || l.ln == nil || l.closed || l.targetAccepts() {
		return
	}
	_ = l.ln.Close()
	l.ln = nil
	go l.reopen()
}

// targetAccepts reports whether the target accepts connections. A suspended target may not
// answer, but does not refuse them.
func (l *Link) targetAccepts() bool {
	conn, err := net.DialTimeout("tcp", l.target, 10*targetPollInterval)
	if err == nil {
		_ = conn.Close()
	}
	return !errors.Is(err, syscall.ECONNREFUSED)
}

// reopen listens again once the target accepts connections.
func (l *Link) reopen() {
	for ; ; time.Sleep(targetPollInterval) {
		if !l.targetAccepts() {
			continue
		}
		l.mu.Lock()
		if l.closed {
			l.mu.Unlock()
			return
		}
		if ln, err := net.Listen("tcp", l.Address); err == nil {
			l.ln = ln
			l.mu.Unlock()
			go l.accept(ln)
			return
		}
		l.mu.Unlock()
	}
}
