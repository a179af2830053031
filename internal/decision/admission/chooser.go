package admission

// Chooser picks a server for an item, or nil if no server is available. The
// default, LowestScore, picks the lowest score among the servers with a free slot.
type Chooser interface {
	Choose(item Item, servers []*Server) *Server
}

// LowestScore is the default chooser. It relies on the exact knowledge that a
// keeper has of the slots in use.
type LowestScore struct{}

// Choose returns the server with the lowest score among those that admit the
// item.
func (LowestScore) Choose(item Item, servers []*Server) *Server {
	var best *Server
	for _, s := range servers {
		if s.admits(item) && (best == nil || s.score(item) < best.score(item)) {
			best = s
		}
	}
	return best
}

// Random is the part of math/rand that the baseline choosers need.
type Random interface{ Float64() float64 }

// PowerOfTwo is a baseline for one hop (power of two choices): the less loaded
// of two random servers, by their lagging load reports. Items then queue at the
// server.
type PowerOfTwo struct{ Random Random }

// Choose returns one of two random servers.
func (c PowerOfTwo) Choose(item Item, servers []*Server) *Server {
	available := availableServers(item, servers)
	if len(available) == 0 {
		return nil
	}
	a := available[int(c.Random.Float64()*float64(len(available)))]
	b := available[int(c.Random.Float64()*float64(len(available)))]
	if b.Load() < a.Load() {
		return b
	}
	return a
}

// Weighted is a baseline for one hop: a random server, weighted by the inverse
// of its advertised cost, as in weighted-cost multipath routing.
type Weighted struct{ Random Random }

// Choose returns a random server.
func (c Weighted) Choose(item Item, servers []*Server) *Server {
	available := availableServers(item, servers)
	var total float64
	for _, s := range available {
		total += 1 / s.cost()
	}
	remaining := c.Random.Float64() * total
	for _, s := range available {
		remaining -= 1 / s.cost()
		if remaining < 0 {
			return s
		}
	}
	return nil
}

// availableServers returns the servers that carry the item's model key and that
// take new work.
func availableServers(item Item, servers []*Server) []*Server {
	var available []*Server
	for _, s := range servers {
		if s.Carries[item.ModelKey] && !s.Leaving && !s.Down {
			available = append(available, s)
		}
	}
	return available
}

// cost is what a server advertises: the expected time for one token at its
// current load.
func (s *Server) cost() float64 {
	return (0.1 + s.Load()) / s.Speed
}
