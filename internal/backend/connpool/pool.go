package connpool

import (
	"slices"
	"time"

	"wisteriafield/internal/backend/server"
)

// maxIdlePerServer bounds the idle connections to one server.
const maxIdlePerServer = 4

// IdleShare returns how many idle connections to one server a router may keep, if the server
// accepts maxConnections from all routers: its share of half of them. 0 stands for no bound.
func IdleShare(maxConnections, routers int) int {
	if maxConnections <= 0 {
		return maxIdlePerServer
	}
	return min(max(maxConnections/2/max(routers, 1), 1), maxIdlePerServer)
}

// Member describes a connection. A member without a server is never kept.
type Member struct {
	Sequence uint64 // order in which connections were opened, from 1
	Server   server.Key
	Service  string
	Address  string
	Class    string // connections are reused by requests of their class only
}

// Idle is a connection that carries no request.
type Idle[C any] struct {
	Member
	ExpiresAt time.Time
	Conn      C
}

// Pool decides which connections are kept for reuse. It does no input or output: the caller
// closes the connections that its methods return as dropped.
type Pool[C any] struct {
	maxTotal    int
	sequence    uint64
	minSequence uint64               // connections opened before it are not kept
	servers     map[string]Member    // by address: the incarnations that are neither gone nor leaving
	idle        map[string][]Idle[C] // by address, in the order of their return
	total       int
}

// NewPool returns a pool that keeps at most maxTotal idle connections.
func NewPool[C any](maxTotal int) *Pool[C] {
	return &Pool[C]{maxTotal: maxTotal, servers: make(map[string]Member), idle: make(map[string][]Idle[C])}
}

// Total returns the number of idle connections.
func (p *Pool[C]) Total() int { return p.total }

// SetServers replaces the list of servers and drops the connections of incarnations that left,
// were removed or were replaced.
func (p *Pool[C]) SetServers(servers []server.Server) (dropped []C) {
	p.servers = make(map[string]Member, len(servers))
	started := make(map[string]int64, len(servers))
	for _, s := range servers {
		if latest, ok := started[s.Address]; ok && latest >= s.Started {
			continue
		}
		started[s.Address] = s.Started
		delete(p.servers, s.Address)
		if !s.Leaving {
			p.servers[s.Address] = Member{Server: s.Key(), Service: s.Service, Address: s.Address}
		}
	}
	return p.drop(func(c Idle[C]) bool { return p.servers[c.Address].Server != c.Server })
}

// Open describes a connection that is about to be opened.
func (p *Pool[C]) Open(address, class string) Member {
	p.sequence++
	m := p.servers[address]
	m.Sequence, m.Address, m.Class = p.sequence, address, class
	return m
}

// Take removes and returns the connection of a class that was returned last, and drops expired
// ones.
func (p *Pool[C]) Take(address, class string, now time.Time) (taken Idle[C], ok bool, dropped []C) {
	dropped = p.Expire(now)
	list := p.idle[address]
	for i := len(list) - 1; i >= 0; i-- {
		if list[i].Class == class {
			taken = list[i]
			p.remove(address, i)
			return taken, true, dropped
		}
	}
	return taken, false, dropped
}

// Put returns a connection to the pool, which keeps it until expiresAt at most. The dropped
// connections may include it.
func (p *Pool[C]) Put(m Member, conn C, expiresAt time.Time, maxIdle int, now time.Time) (kept bool, dropped []C) {
	dropped = p.Expire(now)
	current, listed := p.servers[m.Address]
	if !listed || current.Server != m.Server || m.Sequence < p.minSequence || !now.Before(expiresAt) || p.maxTotal < 1 {
		return false, append(dropped, conn)
	}
	maxIdle = min(max(maxIdle, 1), maxIdlePerServer)
	for len(p.idle[m.Address]) >= maxIdle {
		dropped = append(dropped, p.removeOldest(m.Address))
	}
	for p.total >= p.maxTotal {
		dropped = append(dropped, p.removeOldest(p.oldestAddress()))
	}
	p.idle[m.Address] = append(p.idle[m.Address], Idle[C]{Member: m, ExpiresAt: expiresAt, Conn: conn})
	p.total++
	return true, dropped
}

// DropBefore drops all connections that were opened before a sequence number, also those that
// carry a request now, once they are returned.
func (p *Pool[C]) DropBefore(sequence uint64) (dropped []C) {
	p.minSequence = max(p.minSequence, sequence)
	return p.drop(func(c Idle[C]) bool { return c.Sequence < p.minSequence })
}

// Expire drops the connections whose time is over.
func (p *Pool[C]) Expire(now time.Time) (dropped []C) {
	return p.drop(func(c Idle[C]) bool { return !now.Before(c.ExpiresAt) })
}

func (p *Pool[C]) drop(matches func(Idle[C]) bool) (dropped []C) {
	for address, list := range p.idle {
		for i := len(list) - 1; i >= 0; i-- {
			if matches(list[i]) {
				dropped = append(dropped, list[i].Conn)
				p.remove(address, i)
			}
		}
	}
	return dropped
}

func (p *Pool[C]) remove(address string, i int) {
	p.idle[address] = slices.Delete(p.idle[address], i, i+1)
	if len(p.idle[address]) == 0 {
		delete(p.idle, address)
	}
	p.total--
}

func (p *Pool[C]) removeOldest(address string) C {
	oldest := 0
	for i, c := range p.idle[address] {
		if c.Sequence < p.idle[address][oldest].Sequence {
			oldest = i
		}
	}
	conn := p.idle[address][oldest].Conn
	p.remove(address, oldest)
	return conn
}

func (p *Pool[C]) oldestAddress() (address string) {
	var lowest uint64
	for a, list := range p.idle {
		for _, c := range list {
			if address == "" || c.Sequence < lowest {
				address, lowest = a, c.Sequence
			}
		}
	}
	return address
}
