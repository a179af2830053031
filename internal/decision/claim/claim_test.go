package claim_test

import (
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
