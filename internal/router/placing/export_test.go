package placing

import (
	"time"

	"wisteriafield/internal/decision/enginetable"
)

// RefOf is by what messages name an engine.
var RefOf = refOf

// Load returns the load of an engine by this router's table.
func (p *Placing) Load(engine enginetable.Key) enginetable.Load {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.table.Load(engine, time.Now())
}
