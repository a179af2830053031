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
			NewWithT(t).Expect(claim.Next(test.found, "mine", "d", false)).To(Equal(test.want))
		})
	}
}

func TestNoCallIsSentIfItsClaimMayBeLost(t *testing.T) {
	for _, test := range []struct {
		name  string
		found *claim.Record
		want  claim.Step
	}{
		{"no claim", nil, claim.ReportUnknown},
		{"own claim", &claim.Record{State: claim.Held, Attempt: "mine"}, claim.ReportUnknown},
		{"claim of another attempt", &claim.Record{State: claim.Held, Attempt: "other"}, claim.AskHolder},
		{"released claim", &claim.Record{State: claim.Released, Attempt: "other"}, claim.ReportUnknown},
		{"ran", &claim.Record{State: claim.Done, Attempt: "other"}, claim.Replay},
	} {
		t.Run(test.name, func(t *testing.T) {
			NewWithT(t).Expect(claim.Next(test.found, "mine", "", true)).To(Equal(test.want))
		})
	}
}

func TestNextSave(t *testing.T) {
	final := &claim.Record{State: claim.Done, Attempt: "mine"}
	for _, test := range []struct {
		name      string
		found     *claim.Record
		mayBeLost bool
		want      claim.SaveStep
	}{
		{"lost", nil, true, claim.Write},
		{"own claim", &claim.Record{State: claim.Held, Attempt: "mine"}, false, claim.Write},
		{"own outcome", &claim.Record{State: claim.Done, Attempt: "mine"}, false, claim.Kept},
		{"another's claim", &claim.Record{State: claim.Held, Attempt: "other"}, false, claim.TakenOver},
		{"another's claim of the lost history", &claim.Record{State: claim.Held, Attempt: "other"}, true, claim.Write},
		{"another's outcome", &claim.Record{State: claim.Done, Attempt: "other"}, true, claim.TakenOver},
	} {
		t.Run(test.name, func(t *testing.T) {
			NewWithT(t).Expect(claim.NextSave(test.found, final, test.mayBeLost)).To(Equal(test.want))
		})
	}
}

func TestNextMark(t *testing.T) {
	now := time.Date(2026, 12, 4, 12, 0, 0, 0, time.UTC)
	seen := claim.RestoreMark{Era: 2, SeenAt: now.Add(-time.Minute)}
	first := claim.RestoreMark{Era: 2}
	for _, test := range []struct {
		name       string
		stored     *claim.RestoreMark
		sawEarlier bool
		want       claim.RestoreMark
		changed    bool
	}{
		{"none", nil, false, claim.RestoreMark{Era: 2, SeenAt: now}, true},
		{"of an earlier era", &claim.RestoreMark{Era: 1}, false, claim.RestoreMark{Era: 2, SeenAt: now}, true},
		{"of this era", &seen, true, seen, false},
		{"of the first era", &first, false, first, false},
		{"written for an empty store, which was restored", &first, true, claim.RestoreMark{Era: 2, SeenAt: now}, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			g := NewWithT(t)
			got, changed := claim.NextMark(test.stored, 2, test.sawEarlier, now)
			g.Expect(got).To(Equal(test.want))
			g.Expect(changed).To(Equal(test.changed))
		})
	}
}

func TestKeysThatAreOlderThanARestoreMayHaveLostTheirClaim(t *testing.T) {
	g := NewWithT(t)
	seenAt := time.Date(2026, 12, 4, 12, 0, 0, 0, time.UTC)
	mayHaveLost := func(m claim.RestoreMark, keyTime time.Time) bool {
		key, err := claim.CheckKey(keyAt(keyTime), keyTime)
		g.Expect(err).NotTo(HaveOccurred())
		return m.MayHaveLost(key.ExpiresAt)
	}
	mark := claim.RestoreMark{Era: 2, SeenAt: seenAt}
	g.Expect(mayHaveLost(mark, seenAt.Add(-time.Hour))).To(BeTrue())
	g.Expect(mayHaveLost(mark, seenAt.Add(5*time.Second))).To(BeTrue(), "its clock or a router's may be ahead")
	g.Expect(mayHaveLost(mark, seenAt.Add(10*time.Second))).To(BeFalse())
	g.Expect(mayHaveLost(claim.RestoreMark{Era: 1}, seenAt)).To(BeFalse(), "no claim is older than the era")
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

func TestAKeyThatIsAheadIsNotClaimedBeforeItsTime(t *testing.T) {
	g := NewWithT(t)
	now := time.Date(2026, 12, 4, 12, 0, 0, 0, time.UTC)
	mark := claim.RestoreMark{Era: 2, SeenAt: now}
	for ahead := time.Duration(0); ahead <= time.Minute; ahead += 500 * time.Millisecond {
		key, err := claim.CheckKey(keyAt(now.Add(ahead)), now)
		g.Expect(err).NotTo(HaveOccurred())
		if key.MayBeClaimed(now) {
			g.Expect(mark.MayHaveLost(key.ExpiresAt)).To(BeTrue(), "%v ahead", ahead)
		} else {
			g.Expect(ahead).To(BeNumerically(">", 5*time.Second))
		}
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
