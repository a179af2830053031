// Package link is a stand-in for the network between two hosts: a TCP proxy that can cut
// or delay connections, drop one direction, or make the open connections silent for good.
package link

import (
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// Link forwards connections to one target address.
type Link struct {
	Address string // that it listens on

	target        string
	refuses       bool // refuse connections while the target does
	cut           atomic.Bool
	dropResponses atomic.Bool  // drop data from the target to the clients
	delay         atomic.Int64 // nanoseconds added to each read
	mu            sync.Mutex
	ln            net.Listener // nil while connections are refused
	closed        bool
	pairs         map[*pair]bool
}

// pair is a client connection and its connection to the target.
type pair struct {
	client, target net.Conn
	silent         atomic.Bool
}

// New returns a link from a free loopback port to the target address.
func New(target string) (*Link, error) { return listen("127.0.0.1:0", target, false) }

// NewRefusing returns a link from an address to the target address that refuses connections
// while the target does.
func NewRefusing(address, target string) (*Link, error) { return listen(address, target, true) }

func listen(address, target string, refuses bool) (*Link, error) {
	ln, err := net.Listen("tcp", address)
	if err != nil {
		return nil, fmt.Errorf("listen: %w", err)
	}
	l := &Link{Address: ln.Addr().String(), target: target, refuses: refuses, ln: ln, pairs: make(map[*pair]bool)}
	go l.accept(ln)
	return l, nil
}

// Cut closes all connections and refuses new ones until Restore.
func (l *Link) Cut() {
	l.cut.Store(true)
	l.mu.Lock()
	defer l.mu.Unlock()
	for p := range l.pairs {
		p.close()
	}
}

// Restore ends a cut, a delay and the dropping of responses.
func (l *Link) Restore() {
	l.cut.Store(false)
	l.dropResponses.Store(false)
	l.delay.Store(0)
}

// DropResponses drops the data that the target sends, until Restore. Dropped data is not
// sent later, so a connection that lost some is closed at its next read after Restore.
func (l *Link) DropResponses(on bool) { l.dropResponses.Store(on) }

// SetDelay delays all forwarded data, until Restore.
func (l *Link) SetDelay(d time.Duration) { l.delay.Store(int64(d)) }

// Silence makes the open connections drop all data in both directions. New connections
// work.
func (l *Link) Silence() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for p := range l.pairs {
		p.silent.Store(true)
	}
}

// Close stops listening and closes all connections.
func (l *Link) Close() {
	l.mu.Lock()
	l.closed = true
	if l.ln != nil {
		_ = l.ln.Close()
	}
	l.mu.Unlock()
	l.Cut()
}

func (l *Link) accept(ln net.Listener) {
	for {
		client, err := ln.Accept()
		if err != nil {
			return
		}
		if l.cut.Load() {
			_ = client.Close()
			continue
		}
		go l.serveConn(client)
	}
}

func (l *Link) serveConn(client net.Conn) {
	target, err := net.Dial("tcp", l.target)
	if err != nil {
		l.followTarget()
		_ = client.Close()
		return
	}
	p := &pair{client: client, target: target}
	l.mu.Lock()
	l.pairs[p] = true
	l.mu.Unlock()
	done := make(chan struct{}, 2)
	go l.forward(p, target, client, done)
	go l.forward(p, client, target, done)
	<-done
	l.followTarget()
	if !p.silent.Load() {
		p.close()
	}
	<-done
	p.close()
	l.mu.Lock()
	delete(l.pairs, p)
	l.mu.Unlock()
}

// forward copies data until a side closes its connection. A silent pair still reads, and
// drops the data.
func (l *Link) forward(p *pair, to, from net.Conn, done chan<- struct{}) {
	buf := make([]byte, 16<<10)
	dropped := false
	for {
		n, err := from.Read(buf)
		if d := l.delay.Load(); d > 0 {
			time.Sleep(time.Duration(d))
		}
		dropping := l.dropResponses.Load() && from == p.target
		dropped = dropped || dropping && n > 0
		if dropped && !dropping {
			break
		}
		if n > 0 && !dropping && !p.silent.Load() {
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
	_ = p.client.Close()
	_ = p.target.Close()
}
