package claim_test

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"wisteriafield/internal/decision/claim"
)

// claimModel drives the steps of model/claim.pml against the rules of the store:
// two routers, lost and late writes, a router that crashes, and a store that is restored
// from a copy and gives out the same revisions again. A step whose
// precondition does not hold does nothing: rapid ends a run early after many skipped steps.
type claimModel struct {
	stored     *claim.Record // the claim in the store
	revision   int           // of the claim in the store
	era        int           // of the store; the key is of era 0
	copied     storeCopy
	routers    [2]*routerModel
	lateWrites []write
	executions int // of the call, at the service
}

type storeCopy struct {
	stored   *claim.Record
	revision int
}

type routerModel struct {
	table        *claim.AttemptTable
	era          int // of the store, by its last answer to this router
	alive        bool
	attempt      string
	seen         *claim.Record // what the router read last
	seenRevision int
	attempts     int // started so far, to name the next one
	step         claim.Step
	sent         bool // the current attempt was dispatched
	notRun       bool // the current attempt was reported as not run
}

type write struct {
	record   claim.Record
	revision int // that the write expects in the store
}

func (m *claimModel) compareAndSwap(w write) bool {
	if m.revision != w.revision {
		return false
	}
	record := w.record
	m.stored = &record
	m.revision++
	return true
}

func (m *claimModel) drawRouter(t *rapid.T) (int, *routerModel) {
	i := rapid.IntRange(0, 1).Draw(t, "router")
	if !m.routers[i].alive {
		t.Skip()
	}
	return i, m.routers[i]
}

// Begin starts a new attempt at a router.
func (m *claimModel) Begin(t *rapid.T) {
	i, router := m.drawRouter(t)
	if router.attempt != "" && !router.sent && !router.notRun && rapid.IntRange(0, 9).Draw(t, "seldom") != 0 {
		return
	}
	router.attempts++
	router.attempt = fmt.Sprintf("r%d-%d", i, router.attempts)
	router.sent, router.notRun = false, false
	router.table.Register(router.attempt, time.Now().Add(time.Hour))
	router.step = ""
}

// Read reads the claim from the store.
func (m *claimModel) Read(t *rapid.T) {
	_, router := m.drawRouter(t)
	if router.attempt == "" || router.sent || router.notRun {
		return
	}
	router.era = m.era
	router.seen, router.seenRevision = m.stored, m.revision
	router.step = router.next()
}

func (r *routerModel) next() claim.Step {
	return claim.Next(r.seen, r.attempt, "d", r.era > 0)
}

// Copy makes the copy that the store is restored from.
func (m *claimModel) Copy(*rapid.T) { m.copied = storeCopy{m.stored, m.revision} }

// Restore loses what was written since the copy.
func (m *claimModel) Restore(t *rapid.T) {
	if rapid.IntRange(0, 3).Draw(t, "seldom") != 0 {
		return
	}
	m.era++
	m.stored, m.revision = m.copied.stored, m.copied.revision
}

// Write writes the claim; its answer may be lost, or the write may arrive late.
func (m *claimModel) Write(t *rapid.T) {
	i, router := m.drawRouter(t)
	if router.step != claim.Create && router.step != claim.Replace || router.notRun {
		return
	}
	w := write{claim.Record{Digest: "d", Router: fmt.Sprint(i), Attempt: router.attempt, State: claim.Held}, router.seenRevision}
	router.step = "" // without an answer, the claim is read back
	switch rapid.SampledFrom([]string{"late", "lost answer", "answer"}).Draw(t, "write") {
	case "late":
		m.lateWrites = append(m.lateWrites, w)
	case "lost answer":
		m.compareAndSwap(w)
	case "answer":
		router.era = m.era
		if m.compareAndSwap(w) {
			router.seen, router.seenRevision = &w.record, m.revision
			router.step = router.next()
		}
	}
}

// ApplyLateWrite lets the oldest late write arrive at the store.
func (m *claimModel) ApplyLateWrite(t *rapid.T) {
	if len(m.lateWrites) == 0 {
		return
	}
	m.compareAndSwap(m.lateWrites[0])
	m.lateWrites = m.lateWrites[1:]
}

// Send dispatches the call at a router that found its own claim, perhaps long
// ago.
func (m *claimModel) Send(t *rapid.T) {
	_, router := m.drawRouter(t)
	if router.step != claim.Send || !router.table.Dispatch(router.attempt) {
		return
	}
	if router.notRun {
		t.Fatal("attempt dispatched after it was reported as not run")
	}
	router.sent = true
	m.executions++
	if rapid.Bool().Draw(t, "recorded") {
		record := claim.Record{Digest: "d", Attempt: router.attempt, State: claim.Done}
		router.table.End(router.attempt, record)
		m.compareAndSwap(write{record, router.seenRevision})
	}
}

// AskHolder asks the holder of the claim for its consent.
func (m *claimModel) AskHolder(t *rapid.T) {
	_, router := m.drawRouter(t)
	if router.step != claim.AskHolder {
		return
	}
	holder := m.routers[router.seen.Router[0]-'0']
	if !holder.alive {
		return
	}
	if consent, _ := holder.table.Abandon(router.seen.Attempt); consent == claim.ConsentGiven {
		released := *router.seen
		released.State = claim.Released
		router.seen = &released
		router.step = router.next()
	}
}

// DeclareNotRun abandons the current attempt and reports it as not run.
func (m *claimModel) DeclareNotRun(t *rapid.T) {
	_, router := m.drawRouter(t)
	if router.attempt == "" || router.sent || router.notRun || rapid.IntRange(0, 3).Draw(t, "seldom") != 0 {
		return
	}
	if consent, _ := router.table.Abandon(router.attempt); consent == claim.ConsentGiven {
		router.notRun = true
	}
}

// Crash replaces a router by a new process of the same name, without its memory.
func (m *claimModel) Crash(t *rapid.T) {
	i, router := m.drawRouter(t)
	if rapid.IntRange(0, 9).Draw(t, "seldom") != 0 {
		return
	}
	m.routers[i] = &routerModel{table: claim.NewAttemptTable(), alive: true, attempts: router.attempts}
}

// Check asserts that the call ran at most once.
func (m *claimModel) Check(t *rapid.T) {
	if m.executions > 1 {
		t.Fatalf("call ran %d times", m.executions)
	}
}

func TestACallRunsAtMostOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &claimModel{}
		for i := range m.routers {
			m.routers[i] = &routerModel{table: claim.NewAttemptTable(), alive: true}
		}
		t.Repeat(rapid.StateMachineActions(m))
	})
}
