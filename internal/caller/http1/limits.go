package http1

import (
	"fmt"
	"net"
	"syscall"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"wisteriafield/internal/decision/connlimit"
)

var (
	endedForOthersTotal = metrics.NewCounter("wisteriafield_connections_ended_for_others_total")
	refusedAtLimitTotal = metrics.NewCounter("wisteriafield_connections_refused_at_limit_total")
)

const (
	// roomTime bounds the wait of a new connection for others that are ending.
	roomTime = 100 * time.Millisecond
	// giveWayTime is how long connections end after their answers once a new one found no room.
	giveWayTime = time.Second
	// endCheckInterval bounds the wait for a connection that is ending.
	endCheckInterval = 5 * time.Millisecond
	// endingLogInterval is the least time between two log lines of connections that end for others.
	endingLogInterval = time.Second
	// minLingering is how long a connection may discard what arrives after its answer, though
	// others want its place.
	minLingering = 20 * time.Millisecond
	// kernelOverhead is the factor by which Linux raises a receive buffer that is set.
	kernelOverhead = 2
)

// Limits bound what the connections of callers take of a host. A zero value bounds nothing.
type Limits struct {
	Connections  int // that are open at the same time
	ReceiveBytes int // that the kernel keeps for one connection
	// HeaderMemory is what the headers of requests take until they are answered.
	HeaderMemory *connlimit.Memory
}

// admit reports whether there is room for a new connection, for which it ends others and waits at
// most for a time. Otherwise it closes the connection.
func (cs *Conns) admit(conn net.Conn, wait time.Duration) bool {
	limit := cs.Limits.Connections
	if limit <= 0 || connlimit.Excess(int(cs.n.Load()), limit) == 0 {
		return true
	}
	deadline := time.Now().Add(wait)
	for {
		next := cs.makeRoom(limit)
		if !cs.isFull() {
			return true
		}
		cs.givesWayUntil.Store(time.Now().Add(giveWayTime).UnixNano())
		if next.IsZero() || next.After(deadline) {
			break
		}
		select {
		case <-cs.removed:
		case <-time.After(time.Until(next)):
		}
	}
	refusedAtLimitTotal.Inc()
	_ = conn.Close()
	return false
}

// givesWay reports whether connections end after their answers to accept others.
func (cs *Conns) givesWay() bool {
	return time.Now().UnixNano() < cs.givesWayUntil.Load() && connlimit.Excess(int(cs.n.Load()), cs.Limits.Connections) > 0
}

func (cs *Conns) isFull() bool { return int(cs.n.Load()) >= cs.Limits.Connections }

// makeRoom ends connections that are not in use if there are too many. It returns when another
// one may have ended or may be ended, zero if all are in use.
func (cs *Conns) makeRoom(limit int) (next time.Time) {
	now := time.Now()
	var all []*callerConn
	var conns []connlimit.Conn
	ending := 0
	cs.each(func(c *callerConn) {
		state, since, ends := c.state()
		if ends {
			ending++
			c.endLingering(now)
			return
		}
		all = append(all, c)
		conns = append(conns, connlimit.Conn{State: state, Since: since})
	})
	chosen, next := connlimit.Choose(conns, connlimit.Excess(len(conns), limit), now)
	endedForOthersTotal.Add(len(chosen))
	for _, i := range chosen {
		all[i].endForOthers()
	}
	if len(chosen) > 0 {
		cs.logEnding(conns[chosen[0]], len(conns), len(chosen), now)
	}
	if ending+len(chosen) > 0 {
		return now.Add(endCheckInterval)
	}
	return next
}

// logEnding logs, at most once in endingLogInterval, that some of the open connections end, and the
// first of them.
func (cs *Conns) logEnding(first connlimit.Conn, open, ended int, now time.Time) {
	last := cs.endingLogged.Load()
	if now.UnixNano()-last <= int64(endingLogInterval) || !cs.endingLogged.CompareAndSwap(last, now.UnixNano()) {
		return
	}
	cs.log.WithField("open", open).WithField("ended", ended).WithField("state", string(first.State)).
		WithField("ms", now.Sub(first.Since).Milliseconds()).Info("connections ended to accept others")
}

// state returns what a connection is used for and since when, and whether it is ending.
func (c *callerConn) state() (state connlimit.State, since time.Time, ending bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	ending = c.ended || c.forOthers || c.phase == Closing
	switch {
	case c.phase == Idle && !c.used:
		return connlimit.New, c.since, ending
	case c.phase == Idle:
		return connlimit.Idle, c.since, ending
	case c.phase == Reading || c.unread && !c.answered:
		return connlimit.Incomplete, c.since, ending
	}
	return connlimit.InUse, c.since, ending
}

// endForOthers lets the reading of a request fail, which has not run then. An idle connection
// closes, unless a request arrives first.
func (c *callerConn) endForOthers() {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case c.ended || c.phase == Closing:
	case c.phase == Idle:
		if !c.hasUnread() {
			c.ending, c.forOthers = true, true
			_ = c.setReadDeadline(time.Now())
		}
	case c.phase == Reading || c.unread && !c.answered:
		c.forOthers = true
		_ = c.setReadDeadline(time.Now())
	}
}

// endLingering ends a connection that only discards what arrives.
func (c *callerConn) endLingering(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if (c.ended || c.phase == Closing) && now.Sub(c.since) > minLingering {
		_ = c.Conn.SetReadDeadline(now)
	}
}

// goOnServing lets a request be served whose last bytes had been read before its connection was to
// end for others.
func (c *callerConn) goOnServing() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.forOthers || c.phase != Serving || c.answered {
		return false
	}
	c.forOthers, c.unread = false, false
	return c.setReadDeadline(time.Time{}) == nil
}

// hasUnread reports whether the kernel has bytes of the connection that were not read. A busy
// router may read those of a request late.
func (c *callerConn) hasUnread() bool {
	conn, ok := c.Conn.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := conn.SyscallConn()
	if err != nil {
		return false
	}
	n := 0
	var peeked [1]byte
	_ = raw.Control(func(fd uintptr) {
		n, _, _ = syscall.Recvfrom(int(fd), peeked[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	})
	return n > 0
}

// SetReadDeadline sets the deadline of reads, unless the connection ends for others.
func (c *callerConn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.forOthers {
		t = time.Now()
	}
	return c.setReadDeadline(t)
}

// setReadDeadline sets the deadline in any case. The caller holds mu.
func (c *callerConn) setReadDeadline(t time.Time) error {
	if err := c.Conn.SetReadDeadline(t); err != nil {
		return fmt.Errorf("set read deadline: %w", err)
	}
	return nil
}

// limitReceiving bounds the receive buffers of the connections that a listener accepts. The kernel
// lets them grow to megabytes otherwise, and all of it counts as memory of the host.
func limitReceiving(ln net.Listener, n int) error {
	listener, ok := ln.(syscall.Conn)
	if !ok || n <= 0 {
		return nil
	}
	raw, err := listener.SyscallConn()
	if err != nil {
		return fmt.Errorf("get listener: %w", err)
	}
	var setErr error
	err = raw.Control(func(fd uintptr) {
		setErr = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, n/kernelOverhead)
	})
	if err != nil {
		return fmt.Errorf("limit receive buffer: %w", err)
	}
	if setErr != nil {
		return fmt.Errorf("limit receive buffer: %w", setErr)
	}
	return nil
}
