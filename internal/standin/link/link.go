// Package link is a stand-in for the network between two hosts: a TCP forwarder
// that can be cut, delayed, made deaf in one direction, or make the open connections
// silent for good.
package link

import (
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// Link forwards connections to one address.
type Link struct {
	Address string // where it listens

	to    string
	ln    net.Listener
	cut   atomic.Bool
	deaf  atomic.Bool  // nothing comes back
	delay atomic.Int64 // nanoseconds for each read
	mu    sync.Mutex
	pairs map[*pair]bool
}

type pair struct {
	near, far net.Conn
	silent    atomic.Bool
}

// New returns a link from a free loopback port to an address.
func New(to string) (*Link, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("listen: %w", err)
	}
	l := &Link{Address: ln.Addr().String(), to: to, ln: ln, pairs: make(map[*pair]bool)}
	go l.accept()
	return l, nil
}

// Cut closes all connections and refuses new ones until Mend.
func (l *Link) Cut() {
	l.cut.Store(true)
	l.mu.Lock()
	defer l.mu.Unlock()
	for p := range l.pairs {
		p.close()
	}
}

// Restore ends a cut, a delay and a direction that is cut.
func (l *Link) Restore() {
	l.cut.Store(false)
	l.deaf.Store(false)
	l.delay.Store(0)
}

// DropResponses drops what comes back from the far end, until Mend. What was dropped is
// lost for good, so the connections that lost something are closed at once then.
func (l *Link) DropResponses(on bool) { l.deaf.Store(on) }

// SetDelay holds up all that is forwarded, until Mend.
func (l *Link) SetDelay(d time.Duration) { l.delay.Store(int64(d)) }

// Silence makes the open connections swallow everything. New ones work.
func (l *Link) Silence() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for p := range l.pairs {
		p.silent.Store(true)
	}
}

// Close ends the link.
func (l *Link) Close() {
	_ = l.ln.Close()
	l.Cut()
}

func (l *Link) accept() {
	for {
		near, err := l.ln.Accept()
		if err != nil {
			return
		}
		if l.cut.Load() {
			_ = near.Close()
			continue
		}
		go l.forward(near)
	}
}

func (l *Link) forward(near net.Conn) {
	far, err := net.Dial("tcp", l.to)
	if err != nil {
		_ = near.Close()
		return
	}
	p := &pair{near: near, far: far}
	l.mu.Lock()
	l.pairs[p] = true
	l.mu.Unlock()
	done := make(chan struct{}, 2)
	go l.copy(p, far, near, done)
	go l.copy(p, near, far, done)
	<-done
	if !p.silent.Load() {
		p.close()
	}
	<-done
	p.close()
	l.mu.Lock()
	delete(l.pairs, p)
	l.mu.Unlock()
}

// copy moves bytes until an end closes. A silent pair reads on and drops all.
func (l *Link) copy(p *pair, to, from net.Conn, done chan<- struct{}) {
	buf := make([]byte, 16<<10)
	dropped := false
	for {
		n, err := from.Read(buf)
		if d := l.delay.Load(); d > 0 {
			time.Sleep(time.Duration(d))
		}
		deaf := l.deaf.Load() && from == p.far
		dropped = dropped || deaf && n > 0
		if dropped && !deaf {
			break
		}
		if n > 0 && !deaf && !p.silent.Load() {
			if _, werr := to.Write(buf[:n]); werr != nil {
				break
			}
		}
		if err != nil {
			break
		}
	}
	done <- struct{}{}
}

func (p *pair) close() {
	_ = p.near.Close()
	_ = p.far.Close()
}
