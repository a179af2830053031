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
		{"another's claim", record(claim.Held, "other", "d"), claim.AskHolder},
		{"given up", record(claim.Released, "other", "d"), claim.Replace},
		{"ran", record(claim.Done, "other", "d"), claim.Replay},
		{"may have run", record(claim.Unknown, "other", "d"), claim.ReportUnknown},
		{"another request", record(claim.Done, "other", "e"), claim.Conflict},
	} {
		t.Run(test.name, func(t *testing.T) {
			NewWithT(t).Expect(claim.Next(test.found, "mine", "d")).To(Equal(test.want))
		})
	}
}

func TestDispatchAndAbandonExcludeEachOther(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := claim.NewAttemptTable()
		b.Register("a", time.Now().Add(time.Hour))
		sent, given := false, false
		for range rapid.IntRange(1, 12).Draw(t, "steps") {
			switch rapid.IntRange(0, 2).Draw(t, "step") {
			case 0:
				if b.Dispatch("a") {
					if sent || given {
						t.Fatal("sent twice, or after consent")
					}
					sent = true
				}
			case 1:
				consent, _ := b.Abandon("a")
				if consent == claim.ConsentGiven && sent {
					t.Fatal("consent after dispatch")
				}
				given = given || consent == claim.ConsentGiven
			case 2:
				if sent {
					b.End("a", claim.Record{State: claim.Done})
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
		{"from the future", keyAt(now.Add(time.Hour)), claim.ErrKeyAge},
		{"version 4", uuid.NewString(), claim.ErrKeyFormat},
		{"no UUID", "booking-17", claim.ErrKeyFormat},
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

// keyAt returns a version 7 UUID of a time.
func keyAt(at time.Time) string {
	var id uuid.UUID
	ms := uint64(at.UnixMilli())
	for i := range 6 {
		id[i] = byte(ms >> (8 * (5 - i)))
	}
	id[6], id[8] = 0x70, 0x80
	return id.String()
}

// race drives the steps of model/claim.pml against the store's rules: two
// routers, lost and late writes, a router that dies. A step whose precondition
// does not hold skips, which makes rapid draw another one; no test is skipped.
type race struct {
	found    *claim.Record
	revision int
	routers  [2]*router
	late     []write
	runs     int
}

type router struct {
	book    *claim.AttemptTable
	alive   bool
	attempt string
	seen    *claim.Record
	at      int
	n       int
	step    claim.Step
	sent    bool // the present attempt
	notRun  bool // was said of the present attempt
}

type write struct {
	record claim.Record
	at     int
}

func (r *race) cas(w write) bool {
	if r.revision != w.at {
		return false
	}
	record := w.record
	r.found = &record
	r.revision++
	return true
}

func (r *race) pick(t *rapid.T) (int, *router) {
	i := rapid.IntRange(0, 1).Draw(t, "router")
	if !r.routers[i].alive {
		t.Skip()
	}
	return i, r.routers[i]
}

// Begin starts a request at a router.
func (r *race) Begin(t *rapid.T) {
	i, one := r.pick(t)
	one.n++
	one.attempt = fmt.Sprintf("r%d-%d", i, one.n)
	one.sent, one.notRun = false, false
	one.book.Register(one.attempt, time.Now().Add(time.Hour))
	one.step = ""
}

// Look reads the store.
func (r *race) Look(t *rapid.T) {
	_, one := r.pick(t)
	if one.attempt == "" || one.sent || one.notRun {
		t.Skip()
	}
	one.seen, one.at = r.found, r.revision
	one.step = claim.Next(one.seen, one.attempt, "d")
}

// Write writes the claim; the answer may be lost, or the write may be late.
func (r *race) Write(t *rapid.T) {
	i, one := r.pick(t)
	if one.step != claim.Create && one.step != claim.Replace || one.notRun {
		t.Skip()
	}
	w := write{claim.Record{Digest: "d", Router: fmt.Sprint(i), Attempt: one.attempt, State: claim.Held}, one.at}
	if rapid.Bool().Draw(t, "late") {
		r.late = append(r.late, w)
	} else {
		r.cas(w)
	}
	one.step = "" // whatever was answered, the claim is read back
}

// Arrive lets a late write arrive.
func (r *race) Arrive(t *rapid.T) {
	if len(r.late) == 0 {
		t.Skip()
	}
	r.cas(r.late[0])
	r.late = r.late[1:]
}

// Send dispatches at a router that found its own claim, perhaps long ago.
func (r *race) Send(t *rapid.T) {
	_, one := r.pick(t)
	if one.step != claim.Send || !one.book.Dispatch(one.attempt) {
		t.Skip()
	}
	if one.notRun {
		t.Fatal("sent after it was said not to run")
	}
	one.sent = true
	r.runs++
	if rapid.Bool().Draw(t, "recorded") {
		record := claim.Record{Digest: "d", Attempt: one.attempt, State: claim.Done}
		one.book.End(one.attempt, record)
		r.cas(write{record, one.at})
	}
}

// Ask asks the holder for consent.
func (r *race) Ask(t *rapid.T) {
	_, one := r.pick(t)
	if one.step != claim.AskHolder {
		t.Skip()
	}
	holder := r.routers[one.seen.Router[0]-'0']
	if !holder.alive {
		t.Skip()
	}
	if consent, _ := holder.book.Abandon(one.seen.Attempt); consent == claim.ConsentGiven {
		released := *one.seen
		released.State = claim.Released
		one.seen = &released
		one.step = claim.Next(one.seen, one.attempt, "d")
	}
}

// GiveUp says "not run".
func (r *race) GiveUp(t *rapid.T) {
	_, one := r.pick(t)
	if one.attempt == "" || one.sent || one.notRun {
		t.Skip()
	}
	if consent, _ := one.book.Abandon(one.attempt); consent == claim.ConsentGiven {
		one.notRun = true
	}
}

// Die loses a router's memory; a new process takes its name.
func (r *race) Die(t *rapid.T) {
	i, one := r.pick(t)
	if rapid.IntRange(0, 9).Draw(t, "seldom") != 0 {
		t.Skip()
	}
	r.routers[i] = &router{book: claim.NewAttemptTable(), alive: true, n: one.n}
}

// Check asserts that the call ran at most once.
func (r *race) Check(t *rapid.T) {
	if r.runs > 1 {
		t.Fatalf("ran %d times", r.runs)
	}
}

func TestACallRunsAtMostOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := &race{}
		for i := range r.routers {
			r.routers[i] = &router{book: claim.NewAttemptTable(), alive: true}
		}
		t.Repeat(rapid.StateMachineActions(r))
	})
}
