// Package connpool sends requests to backend servers on connections that are kept between
// requests. It resends a request only where its callers allow it; net/http.Transport resends
// some by itself, and can't tell a server that dropped an idle connection from one that was lost.
package connpool

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/sirupsen/logrus"

	"wisteriafield/internal/backend/server"
)

const (
	// maxIdleTotal bounds the idle connections to all servers.
	maxIdleTotal = 256
	// descriptorShare is the inverse of the share of the process's descriptors for idle
	// connections.
	descriptorShare = 10
	// defaultIdleTime applies to servers that name no time.
	defaultIdleTime = 4 * time.Second
	// maxIdleTime bounds the time that a server names.
	maxIdleTime = time.Minute
	// idleMargin is the time by which a connection is dropped before its server closes it. It
	// covers the way of the answer and of the next request.
	idleMargin = 500 * time.Millisecond
	// maxRequests bounds the IDs that a connection remembers.
	maxRequests = 100
	// sweepInterval is the interval at which expired connections are closed.
	sweepInterval = time.Second
)

// Client sends requests to backend servers on kept connections.
type Client struct {
	dialer *net.Dialer
	log    *logrus.Entry

	mu       sync.Mutex
	pool     *Pool[*conn]
	maxIdle  func(service string) int // idle connections to one server of a service
	sweeping bool                     // a sweep is scheduled
}

// New returns a client that opens connections with the dialer. It keeps none before SetServers
// was called.
func New(dialer *net.Dialer, log *logrus.Entry) *Client {
	total := uint64(maxIdleTotal)
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err == nil {
		total = min(total, uint64(limit.Cur)/descriptorShare)
	}
	return &Client{dialer: dialer, log: log, pool: NewPool[*conn](int(total))}
}

// SetServers sets the servers to which connections are kept. maxIdle returns how many idle
// connections to one server of a service this router may keep.
func (c *Client) SetServers(servers []server.Server, maxIdle func(service string) int) {
	c.mu.Lock()
	dropped := c.pool.SetServers(servers)
	c.maxIdle = maxIdle
	c.mu.Unlock()
	closeAll(dropped)
}

// take returns a kept connection for a call that is still open and quiet, or nil.
func (c *Client) take(call Call) *conn {
	for {
		c.mu.Lock()
		idle, ok, dropped := c.pool.Take(call.Address, call.Class, time.Now())
		c.mu.Unlock()
		closeAll(dropped)
		if !ok {
			return nil
		}
		if idle.Conn.quiet() && !slices.Contains(idle.Conn.carried, call.id) {
			reusedTotal.Inc()
			return idle.Conn
		}
		_ = idle.Conn.Close()
	}
}

// open opens a connection.
func (c *Client) open(ctx context.Context, address, class string) (*conn, error) {
	c.mu.Lock()
	m := c.pool.Open(address, class)
	c.mu.Unlock()
	return c.dial(ctx, m)
}

func (c *Client) dial(ctx context.Context, m Member) (*conn, error) {
	dialed, err := c.dialer.DialContext(ctx, "tcp", m.Address)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrNotOpened, err)
	}
	openedTotal.Inc()
	return newConn(dialed, m), nil
}

// put keeps a connection if the pool has room for it, and closes it otherwise.
func (c *Client) put(k *conn, res *http.Response) {
	c.mu.Lock()
	limit := c.maxIdle
	c.mu.Unlock()
	if limit == nil || len(k.carried) >= maxRequests || !k.quiet() {
		_ = k.Close()
		return
	}
	maxIdle := limit(k.member.Service)
	now := time.Now()
	c.mu.Lock()
	_, dropped := c.pool.Put(k.member, k, now.Add(idleTime(res.Header)), maxIdle, now)
	c.scheduleSweep()
	c.mu.Unlock()
	closeAll(dropped)
}

// scheduleSweep schedules a sweep while there are idle connections. c.mu must be held.
func (c *Client) scheduleSweep() {
	if c.sweeping || c.pool.Total() == 0 {
		return
	}
	c.sweeping = true
	time.AfterFunc(sweepInterval, func() {
		c.mu.Lock()
		c.sweeping = false
		dropped := c.pool.Expire(time.Now())
		c.scheduleSweep()
		c.mu.Unlock()
		closeAll(dropped)
	})
}

// dropSilent closes the idle connections that were opened before the one that answered.
func (c *Client) dropSilent(silent, answered Member) {
	c.mu.Lock()
	dropped := c.pool.DropBefore(answered.Sequence)
	c.mu.Unlock()
	closeAll(dropped)
	silentTotal.Inc()
	c.log.WithField("server", silent.Server.ID).WithField("address", silent.Address).WithField("class", silent.Class).
		WithField("opened", silent.Sequence).WithField("answered", answered.Sequence).WithField("closed", len(dropped)).
		Info("kept connection is silent; those that are as old are closed")
}

func closeAll(conns []*conn) {
	for _, k := range conns {
		_ = k.Close()
	}
}

// idleTime returns how long a connection may be kept whose last answer has the header.
func idleTime(header http.Header) time.Duration {
	for _, field := range strings.Split(strings.Join(header.Values("Keep-Alive"), ","), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(field), "=")
		if !strings.EqualFold(strings.TrimSpace(name), "timeout") {
			continue
		}
		n, err := strconv.ParseUint(strings.TrimSpace(value), 10, 32)
		if err != nil {
			return 0
		}
		return min(time.Duration(n)*time.Second-idleMargin, maxIdleTime)
	}
	return defaultIdleTime
}
