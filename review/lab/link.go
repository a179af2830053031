package lab

import (
	"fmt"
	"net"
	"sync"
	"time"
)

// Link forwards connections to an address. While it is cut it is silent: nothing passes either
// way, no connection ends and new ones are not answered.
type Link struct {
	Address string

	target string
	mu     sync.Mutex
	healed *sync.Cond
	cut    bool
	bytes  int // that passed towards the target
}

// NewLink returns a link to an address, at a loopback address of its own.
func NewLink(target string) (*Link, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("listen: %w", err)
	}
	l := &Link{Address: ln.Addr().String(), target: target}
	l.healed = sync.NewCond(&l.mu)
	go func() {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			go l.serve(conn)
		}
	}()
	return l, nil
}

// SetCut cuts the link, or lets it pass what it holds.
func (l *Link) SetCut(cut bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.cut = cut
	l.healed.Broadcast()
}

// Bytes returns the number of bytes that passed towards the target so far.
func (l *Link) Bytes() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.bytes
}

// pass waits while the link is cut.
func (l *Link) pass(n int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for l.cut {
		l.healed.Wait()
	}
	l.bytes += n
}

func (l *Link) serve(conn net.Conn) {
	defer conn.Close()
	l.pass(0)
	target, err := net.DialTimeout("tcp", l.target, time.Second)
	if err != nil {
		return
	}
	defer target.Close()
	done := make(chan struct{}, 2)
	forward := func(to, from net.Conn, counts bool) {
		defer func() { done <- struct{}{} }()
		buffer := make([]byte, 32<<10)
		for {
			n, err := from.Read(buffer)
			if counts {
				l.pass(n)
			} else {
				l.pass(0)
			}
			if n > 0 {
				if _, err := to.Write(buffer[:n]); err != nil {
					return
				}
			}
			if err != nil {
				return
			}
		}
	}
	go forward(target, conn, true)
	go forward(conn, target, false)
	<-done
}
