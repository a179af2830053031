package keeper

import (
	"sort"
	"time"

	"wisteriafield/internal/decision/admission"
)

// Dump is the state of a keeper as an operator sees it.
type Dump struct {
	Servers  []ServerDump
	Waiting  map[admission.Class]int
	Attempts []AttemptDump
}

// ServerDump is the state of one server in the queue.
type ServerDump struct {
	Name     string
	InFlight int // slots in use, by this and other routers
	Foreign  int // estimated part of InFlight that other routers use
	Slots    int
	Slowdown float64
	Leaving  bool
	Down     bool
	Carries  []string // model keys
}

// AttemptDump is the state of one attempt.
type AttemptDump struct {
	Generation   string
	Attempt      string
	Organisation string
	Class        admission.Class
	Server       string
	Count        int    // tokens accepted so far
	Reason       string // finish reason; empty until the answer is complete
	Failure      string // empty unless the attempt was lost
}

// Dump returns the present state of the servers, the queue and the attempts.
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
	for _, a := range k.attempts {
		state := a.replica.State()
		d.Attempts = append(d.Attempts, AttemptDump{
			Generation: a.req.Generation, Attempt: a.req.Attempt, Organisation: a.req.Organisation, Class: a.req.Class,
			Server: a.serverName(), Count: state.TokenCount, Reason: state.FinishReason, Failure: state.Failure,
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
	for modelKey := range s.Carries {
		d.Carries = append(d.Carries, modelKey)
	}
	sort.Strings(d.Carries)
	return d
}

// Running returns the number of attempts that wait or run.
func (k *Keeper) Running() int {
	k.mu.Lock()
	defer k.mu.Unlock()
	var n int
	for _, a := range k.attempts {
		if state := a.replica.State(); state.FinishReason == "" && state.Failure == "" {
			n++
		}
	}
	return n
}
