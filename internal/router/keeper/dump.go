package keeper

import (
	"sort"
	"time"

	"wisteriafield/internal/decision/admission"
)

// Dump is the keeper's state on request.
type Dump struct {
	Servers  []ServerDump
	Waiting  map[admission.Class]int
	Attempts []AttemptDump
}

// ServerDump is the state of one server.
type ServerDump struct {
	Name     string
	InFlight int
	Foreign  int
	Slots    int
	Slowdown float64
	Leaving  bool
	Down     bool
	Carries  []string
}

// AttemptDump is the state of one attempt.
type AttemptDump struct {
	Generation   string
	Attempt      string
	Organisation string
	Class        admission.Class
	Server       string
	Count        int
	Reason       string
	Failure      string
}

// Dump returns the state.
func (k *Keeper) Dump() Dump {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.sync(time.Now())
	d := Dump{Servers: []ServerDump{}, Waiting: make(map[admission.Class]int), Attempts: []AttemptDump{}}
	for _, name := range k.queue.ServerNames() {
		d.Servers = append(d.Servers, dumpServer(k.queue.Server(name)))
	}
	for _, c := range admission.Classes {
		d.Waiting[c] = k.queue.Len(c)
	}
	for _, one := range k.attempts {
		state := one.copy.State()
		d.Attempts = append(d.Attempts, AttemptDump{
			Generation: one.req.Generation, Attempt: one.req.Attempt, Organisation: one.req.Organisation, Class: one.req.Class,
			Server: one.serverName(), Count: state.TokenCount, Reason: state.FinishReason, Failure: state.Failure,
		})
	}
	sort.Slice(d.Attempts, func(i, j int) bool { return d.Attempts[i].Attempt < d.Attempts[j].Attempt })
	return d
}

func dumpServer(s *admission.Server) ServerDump {
	d := ServerDump{
		Name: s.Name, InFlight: s.InFlight(), Foreign: s.Foreign, Slots: s.Slots, Slowdown: s.Pace.Slowdown(),
		Leaving: s.Leaving, Down: s.Down, Carries: []string{},
	}
	for needs := range s.Carries {
		d.Carries = append(d.Carries, needs)
	}
	sort.Strings(d.Carries)
	return d
}

// Running returns the number of attempts that wait or run.
func (k *Keeper) Running() int {
	k.mu.Lock()
	defer k.mu.Unlock()
	var n int
	for _, one := range k.attempts {
		if state := one.copy.State(); state.FinishReason == "" && state.Failure == "" {
			n++
		}
	}
	return n
}
