package admission

const (
	cachedPrefixScoreFactor  = 0.7  // see Server.score
	avoidedServerScoreFactor = 1000 // see Server.score
	maxPrefixesPerServer     = 256
)

// prefixes holds the prompt prefixes of the items that a server was assigned
// recently, which it may have cached. It is only a hint, as the cache events of
// engines would be, which arrive late and with gaps.
type prefixes struct {
	order []string
	set   map[string]bool
}

func (p *prefixes) has(name string) bool { return name != "" && p.set[name] }

func (p *prefixes) add(name string) {
	if name == "" || p.set[name] {
		return
	}
	if p.set == nil {
		p.set = make(map[string]bool)
	}
	p.set[name] = true
	p.order = append(p.order, name)
	if len(p.order) > maxPrefixesPerServer {
		p.remove(p.order[0])
	}
}

func (p *prefixes) remove(name string) {
	delete(p.set, name)
	for i, n := range p.order {
		if n == name {
			p.order = append(p.order[:i], p.order[i+1:]...)
			return
		}
	}
}
