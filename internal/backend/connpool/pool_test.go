package connpool_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"wisteriafield/internal/backend/connpool"
	"wisteriafield/internal/backend/server"
)

// modelConn is a connection as the model knows it.
type modelConn struct {
	member    connpool.Member
	expiresAt time.Time
}

// model states the rules of the pool over a plain list.
type model struct {
	listed   map[string]server.Key
	idle     []modelConn // in the order of their return
	inUse    []connpool.Member
	minimum  uint64
	maxTotal int
}

// removeIf removes idle connections and returns their sequence numbers.
func (m *model) removeIf(matches func(modelConn) bool) (removed []uint64) {
	m.idle = slices.DeleteFunc(m.idle, func(c modelConn) bool {
		if matches(c) {
			removed = append(removed, c.member.Sequence)
			return true
		}
		return false
	})
	return removed
}

func (m *model) removeOldest(matches func(modelConn) bool) uint64 {
	oldest := uint64(0)
	for _, c := range m.idle {
		if matches(c) && (oldest == 0 || c.member.Sequence < oldest) {
			oldest = c.member.Sequence
		}
	}
	m.removeIf(func(c modelConn) bool { return c.member.Sequence == oldest })
	return oldest
}

func (m *model) put(member connpool.Member, expiresAt, now time.Time, maxIdle int) (dropped []uint64) {
	dropped = m.removeIf(func(c modelConn) bool { return !now.Before(c.expiresAt) })
	if member.Server.ID == "" || m.listed[member.Address] != member.Server || member.Sequence < m.minimum || !now.Before(expiresAt) {
		return append(dropped, member.Sequence)
	}
	same := func(c modelConn) bool { return c.member.Address == member.Address }
	all := func(modelConn) bool { return true }
	for count(m.idle, same) >= min(max(maxIdle, 1), 4) {
		dropped = append(dropped, m.removeOldest(same))
	}
	for count(m.idle, all) >= m.maxTotal {
		dropped = append(dropped, m.removeOldest(all))
	}
	m.idle = append(m.idle, modelConn{member, expiresAt})
	return dropped
}

func (m *model) take(address, class string, now time.Time) (sequence uint64, dropped []uint64) {
	dropped = m.removeIf(func(c modelConn) bool { return !now.Before(c.expiresAt) })
	for i := len(m.idle) - 1; i >= 0; i-- {
		if c := m.idle[i].member; c.Address == address && c.Class == class {
			m.idle = slices.Delete(m.idle, i, i+1)
			m.inUse = append(m.inUse, c)
			return c.Sequence, dropped
		}
	}
	return 0, dropped
}

func count(list []modelConn, matches func(modelConn) bool) (n int) {
	for _, c := range list {
		if matches(c) {
			n++
		}
	}
	return n
}

// Guards against a connection that is reused for another incarnation, class or address, after
// its time or after a silent one was found, that is reused and dropped, or that exceeds a bound.
func TestPoolAgreesWithItsModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := NewWithT(t)
		now := time.Unix(1000, 0)
		m := &model{listed: make(map[string]server.Key), maxTotal: rapid.IntRange(1, 4).Draw(t, "maxTotal")}
		p := connpool.NewPool[uint64](m.maxTotal)
		address := func() string { return fmt.Sprintf("10.0.0.%d:80", rapid.IntRange(1, 3).Draw(t, "address")) }
		class := func() string { return rapid.SampledFrom([]string{"report", "list"}).Draw(t, "class") }
		put := func(member connpool.Member, expiresAt time.Time, maxIdle int) {
			want := m.put(member, expiresAt, now, maxIdle)
			kept, dropped := p.Put(member, member.Sequence, expiresAt, maxIdle, now)
			g.Expect(dropped).To(ConsistOf(toAny(want)...))
			g.Expect(kept).To(Equal(!slices.Contains(want, member.Sequence)))
		}
		t.Repeat(map[string]func(*rapid.T){
			"set servers": func(t *rapid.T) {
				var list []server.Server
				m.listed = make(map[string]server.Key)
				for i := 1; i <= 3; i++ {
					s := server.Server{ID: fmt.Sprint("i-", i), Address: fmt.Sprintf("10.0.0.%d:80", i), Started: rapid.Int64Range(1, 2).Draw(t, "started")}
					s.Leaving = rapid.IntRange(0, 4).Draw(t, "leaving") == 0
					if rapid.IntRange(0, 4).Draw(t, "removed") == 0 {
						continue
					}
					list = append(list, s)
					if !s.Leaving {
						m.listed[s.Address] = s.Key()
					}
				}
				want := m.removeIf(func(c modelConn) bool { return m.listed[c.member.Address] != c.member.Server })
				g.Expect(p.SetServers(list)).To(ConsistOf(toAny(want)...))
			},
			"open": func(*rapid.T) {
				a := address()
				member := p.Open(a, class())
				g.Expect(member.Server).To(Equal(m.listed[a]))
				m.inUse = append(m.inUse, member)
			},
			"put": func(t *rapid.T) {
				if len(m.inUse) == 0 {
					m.inUse = append(m.inUse, p.Open(address(), class()))
				}
				i := rapid.IntRange(0, len(m.inUse)-1).Draw(t, "connection")
				member := m.inUse[i]
				m.inUse = slices.Delete(m.inUse, i, i+1)
				put(member, now.Add(time.Duration(rapid.IntRange(-1, 4).Draw(t, "seconds"))*time.Second), rapid.IntRange(0, 6).Draw(t, "maxIdle"))
			},
			"open and put": func(*rapid.T) { put(p.Open(address(), class()), now.Add(4*time.Second), 4) },
			"take": func(*rapid.T) {
				a, c := address(), class()
				want, wantDropped := m.take(a, c, now)
				taken, ok, dropped := p.Take(a, c, now)
				g.Expect(ok).To(Equal(want != 0))
				g.Expect(taken.Conn).To(Equal(want))
				g.Expect(dropped).To(ConsistOf(toAny(wantDropped)...))
			},
			"drop before": func(t *rapid.T) {
				sequence := p.Open(address(), "silent").Sequence
				m.minimum = sequence
				want := m.removeIf(func(c modelConn) bool { return c.member.Sequence < sequence })
				g.Expect(p.DropBefore(sequence)).To(ConsistOf(toAny(want)...))
			},
			"wait": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(1, 1500).Draw(t, "ms")) * time.Millisecond)
			},
			"": func(*rapid.T) { g.Expect(p.Total()).To(Equal(len(m.idle))) },
		})
	})
}

func toAny(list []uint64) []any {
	all := make([]any, len(list))
	for i, v := range list {
		all[i] = v
	}
	return all
}

// An address that a restarted server took over was served by its predecessor's entry.
func TestOfTwoServersAtAnAddressTheLaterOneCounts(t *testing.T) {
	g := NewWithT(t)
	p := connpool.NewPool[uint64](8)
	p.SetServers([]server.Server{{ID: "i-1", Address: "a", Started: 7, Leaving: true}, {ID: "i-2", Address: "a", Started: 9}, {ID: "i-3", Address: "a", Started: 8}})
	g.Expect(p.Open("a", "report").Server).To(Equal(server.Key{ID: "i-2", Started: 9}))
}

// Idle connections of many routers took all that a server accepts.
func TestIdleConnectionsOfAllRoutersLeaveHalfOfWhatAServerAccepts(t *testing.T) {
	g := NewWithT(t)
	for _, routers := range []int{6, 36, 69, 195} {
		g.Expect(routers * connpool.IdleShare(670, routers)).To(BeNumerically("<=", 670/2))
	}
	g.Expect(connpool.IdleShare(670, 1000)).To(Equal(1))
	g.Expect(connpool.IdleShare(0, 36)).To(Equal(4))
}
