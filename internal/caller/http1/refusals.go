package http1

import (
	"container/list"
	"net"
	"sync"
	"time"
)

// maxRefusals is the number of connections that may discard what arrives after the refusal of a
// request that was not read. Clients that come again at once would otherwise hold as many as they
// can open in lingerTime.
const maxRefusals = 128

// refusals are the connections of such requests.
type refusals struct {
	mu    sync.Mutex
	conns list.List // of net.Conn, the oldest first
}

// enter adds a connection, and ends the reading of the oldest one if there are too many. The
// returned function is called at the end.
func (l *refusals) enter(conn net.Conn) (leave func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	element := l.conns.PushBack(conn)
	if oldest := l.conns.Front(); l.conns.Len() > maxRefusals {
		_ = oldest.Value.(net.Conn).SetReadDeadline(time.Now())
		l.conns.Remove(oldest)
	}
	return func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		l.conns.Remove(element)
	}
}
