package admission

// Chooser picks a server for an item. The default one takes the server with the
// best score among those that have a free slot.
type Chooser interface {
	Choose(it Item, servers []*Server) *Server
}

// LowestScore is the chooser of a keeper, whose knowledge is exact.
type LowestScore struct{}

// Choose returns the admitting server with the lowest score.
func (LowestScore) Choose(it Item, servers []*Server) *Server {
	var best *Server
	for _, s := range servers {
		if s.admits(it) && (best == nil || s.score(it) < best.score(it)) {
			best = s
		}
	}
	return best
}

// Random is the part of math/rand that the baselines need.
type Random interface{ Float64() float64 }

// PowerOfTwo is a baseline for one hop: the less loaded of two random servers,
// by their lagging reports. The queue is then at the server.
type PowerOfTwo struct{ Random Random }

// Choose returns one of two random servers.
func (c PowerOfTwo) Choose(it Item, servers []*Server) *Server {
	open := carrying(it, servers)
	if len(open) == 0 {
		return nil
	}
	a := open[int(c.Random.Float64()*float64(len(open)))]
	b := open[int(c.Random.Float64()*float64(len(open)))]
	if b.Load() < a.Load() {
		return b
	}
	return a
}

// Weighted is a baseline for one hop: a random server, weighted by the inverse
// of its advertised cost, as in weighted-cost multipath.
type Weighted struct{ Random Random }

// Choose returns a random server.
func (c Weighted) Choose(it Item, servers []*Server) *Server {
	open := carrying(it, servers)
	var total float64
	for _, s := range open {
		total += 1 / s.cost()
	}
	at := c.Random.Float64() * total
	for _, s := range open {
		at -= 1 / s.cost()
		if at < 0 {
			return s
		}
	}
	return nil
}

func carrying(it Item, servers []*Server) []*Server {
	var open []*Server
	for _, s := range servers {
		if s.Carries[it.Needs] && !s.Leaving && !s.Down {
			open = append(open, s)
		}
	}
	return open
}

// cost is what a server advertises: the time for a token at its load.
func (s *Server) cost() float64 {
	return (0.1 + s.Load()) / s.Speed
}
