package claim_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/uuid"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"wisteriafield/internal/decision/claim"
)

func TestNext(t *testing.T) {
	record := func(state claim.State, attempt, digest string) *claim.Record {
		return &claim.Record{State: state, Attempt: attempt, Digest: digest}
	}
	for _, test := range []struct {
		name  string
		found *claim.Record
		want  claim.Step
	}{
		{"no claim", nil, claim.Create},
		{"own claim", record(claim.Held, "mine", "d"), claim.Send},
		{"claim of another attempt", record(claim.Held, "other", "d"), claim.AskHolder},
		{"released claim", record(claim.Released, "other", "d"), claim.Replace},
		{"ran", record(claim.Done, "other", "d"), claim.Replay},
		{"call may have run", record(claim.Unknown, "other", "d"), claim.ReportUnknown},
		{"key of another request", record(claim.Done, "other", "e"), claim.Conflict},
	} {
		t.Run(test.name, func(t *testing.T) {
			NewWithT(t).Expect(claim.Next(test.found, "mine", "d")).To(Equal(test.want))
		})
	}
}

func TestDispatchAndAbandonExcludeEachOther(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		table := claim.NewAttemptTable()
		table.Register("a", time.Now().Add(time.Hour))
		sent, given := false, false
		for range rapid.IntRange(1, 12).Draw(t, "steps") {
			switch rapid.IntRange(0, 2).Draw(t, "step") {
			case 0:
				if table.Dispatch("a") {
					if sent || given {
						t.Fatal("dispatched twice, or after consent")
					}
					sent = true
				}
			case 1:
				consent, _ := table.Abandon("a")
				if consent == claim.ConsentGiven && sent {
					t.Fatal("consent after dispatch")
				}
				given = given || consent == claim.ConsentGiven
			case 2:
				if sent {
					table.End("a", claim.Record{State: claim.Done})
				}
			}
		}
	})
}

func TestConsentIsRefusedForAnUnknownAttempt(t *testing.T) {
	consent, _ := claim.NewAttemptTable().Abandon("nobody's")
	NewWithT(t).Expect(consent).To(Equal(claim.ConsentRefused))
}

func TestCheckKey(t *testing.T) {
	now := time.Date(2026, 12, 4, 12, 0, 0, 0, time.UTC)
	for _, test := range []struct {
		name string
		key  string
		want error
	}{
		{"fresh", keyAt(now.Add(-time.Minute)), nil},
		{"a day old", keyAt(now.Add(-claim.Retention - time.Second)), claim.ErrKeyAge},
		{"too far in the future", keyAt(now.Add(time.Hour)), claim.ErrKeyAge},
		{"version 4", uuid.NewString(), claim.ErrKeyFormat},
		{"not a UUID", "booking-17", claim.ErrKeyFormat},
	} {
		t.Run(test.name, func(t *testing.T) {
			_, err := claim.CheckKey(test.key, now)
			if test.want == nil {
				NewWithT(t).Expect(err).NotTo(HaveOccurred())
				return
			}
			NewWithT(t).Expect(err).To(MatchError(test.want))
		})
	}
}

// keyAt returns a version 7 UUID with the given time.
func keyAt(at time.Time) string {
	var id uuid.UUID
	ms := uint64(at.UnixMilli())
	for i := range 6 {
		id[i] = byte(ms >> (8 * (5 - i)))
	}
	id[6], id[8] = 0x70, 0x80
	return id.String()
}

// claimModel drives the steps of model/claim.pml against the rules of the store:
// two routers, lost and late writes, and a router that crashes. A step whose
// precondition does not hold skips, which makes rapid draw another one; no test
// is skipped.
type claimModel struct {
	stored     *claim.Record // the claim in the store
	revision   int           // of the claim in the store
	routers    [2]*routerModel
	lateWrites []write
	executions int // of the call, at the service
}

type routerModel struct {
	table        *claim.AttemptTable
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
		t.Skip()
	}
	router.seen, router.seenRevision = m.stored, m.revision
	router.step = claim.Next(router.seen, router.attempt, "d")
}

// Write writes the claim; its answer may be lost, or the write may arrive late.
func (m *claimModel) Write(t *rapid.T) {
	i, router := m.drawRouter(t)
	if router.step != claim.Create && router.step != claim.Replace || router.notRun {
		t.Skip()
	}
	w := write{claim.Record{Digest: "d", Router: fmt.Sprint(i), Attempt: router.attempt, State: claim.Held}, router.seenRevision}
	if rapid.Bool().Draw(t, "late") {
		m.lateWrites = append(m.lateWrites, w)
	} else {
		m.compareAndSwap(w)
	}
	router.step = "" // whatever the answer was, the claim is read back
}

// ApplyLateWrite lets the oldest late write arrive at the store.
func (m *claimModel) ApplyLateWrite(t *rapid.T) {
	if len(m.lateWrites) == 0 {
		t.Skip()
	}
	m.compareAndSwap(m.lateWrites[0])
	m.lateWrites = m.lateWrites[1:]
}

// Send dispatches the call at a router that found its own claim, perhaps long
// ago.
func (m *claimModel) Send(t *rapid.T) {
	_, router := m.drawRouter(t)
	if router.step != claim.Send || !router.table.Dispatch(router.attempt) {
		t.Skip()
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
		t.Skip()
	}
	holder := m.routers[router.seen.Router[0]-'0']
	if !holder.alive {
		t.Skip()
	}
	if consent, _ := holder.table.Abandon(router.seen.Attempt); consent == claim.ConsentGiven {
		released := *router.seen
		released.State = claim.Released
		router.seen = &released
		router.step = claim.Next(router.seen, router.attempt, "d")
	}
}

// DeclareNotRun abandons the current attempt and reports it as not run.
func (m *claimModel) DeclareNotRun(t *rapid.T) {
	_, router := m.drawRouter(t)
	if router.attempt == "" || router.sent || router.notRun {
		t.Skip()
	}
	if consent, _ := router.table.Abandon(router.attempt); consent == claim.ConsentGiven {
		router.notRun = true
	}
}

// Crash replaces a router by a new process of the same name, without its memory.
func (m *claimModel) Crash(t *rapid.T) {
	i, router := m.drawRouter(t)
	if rapid.IntRange(0, 9).Draw(t, "seldom") != 0 {
		t.Skip()
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
