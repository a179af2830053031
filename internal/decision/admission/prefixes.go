package admission

const (
	cachedPrefixFactor = 0.7
	avoidFactor        = 1000
	maxPrefixes        = 256
)

// prefixes remembers the prompt prefixes that a server lately saw. It is a
// hint: cache events come late and with gaps.
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
	if len(p.order) > maxPrefixes {
		p.drop(p.order[0])
	}
}

func (p *prefixes) drop(name string) {
	delete(p.set, name)
	for i, n := range p.order {
		if n == name {
			p.order = append(p.order[:i], p.order[i+1:]...)
			return
		}
	}
}
