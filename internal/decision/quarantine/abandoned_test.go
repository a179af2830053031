package quarantine_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"wisteriafield/internal/decision/quarantine"
)

// found returns a crash of a server that was found when nobody waited for its answer.
func found(server, request string, seconds float64) quarantine.Crash {
	return quarantine.Crash{Suspects: quarantine.Suspects{Request: request}, Server: server, At: at(seconds), Unanswered: true, Abandoned: true}
}

// seen returns a crash of a server under a request that waited for its answer.
func seen(server, request string, seconds float64) quarantine.Crash {
	return quarantine.Crash{Suspects: quarantine.Suspects{Request: request}, Server: server, At: at(seconds)}
}

// Guards against a call that is blocked since servers that were lost together, as in a power cut,
// are found one after the other.
func TestCrashesFoundAfterCallersLeftHaveToSpanASecond(t *testing.T) {
	for _, c := range []struct {
		name    string
		crashes []quarantine.Crash
		blocked bool
	}{
		{"found within a second", []quarantine.Crash{found("a", "r", 0), found("b", "r", 0.4), found("c", "r", 0.9)}, false},
		{"found over more than a second", []quarantine.Crash{found("a", "r", 0), found("b", "r", 0.4), found("c", "r", 1.1)}, true},
		{"two seen and one found within a second", []quarantine.Crash{seen("a", "r", 0), seen("b", "r", 0.4), found("c", "r", 0.9)}, false},
		{"three seen within a second", []quarantine.Crash{seen("a", "r", 0), seen("b", "r", 0.4), seen("c", "r", 0.9)}, true},
		{"three seen at once and one found", []quarantine.Crash{seen("a", "r", 0), seen("b", "r", 0.01), seen("c", "r", 0.02), found("d", "r", 0.9)}, false},
		{"two servers over more than a second", []quarantine.Crash{found("a", "r", 0), found("b", "r", 1.1)}, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			for order := range 2 {
				table := quarantine.New(at(-10), 3*time.Second)
				for i := range c.crashes {
					if order == 1 {
						i = len(c.crashes) - 1 - i
					}
					table.RecordCrash(c.crashes[i], at(2))
				}
				_, blocked := table.Blocked(quarantine.Suspects{Request: "r"}, at(2))
				NewWithT(t).Expect(blocked).To(Equal(c.blocked), "order %d", order)
			}
		})
	}
}

// Guards against a sound call that is kept from the last server since its caller left shortly
// before another one crashed.
func TestOneCrashFoundAfterACallerLeftSparesNoServer(t *testing.T) {
	g := NewWithT(t)
	table := quarantine.New(at(-10), 3*time.Second)
	call := quarantine.Suspects{Request: "r"}
	usable := func() []string { return []string{"c"} }
	table.RecordCrash(found("a", "r", 0), at(0))
	g.Expect(table.SparesLastServer(call, usable, at(1))).To(BeFalse())
	table.RecordCrash(found("b", "r", 1), at(1))
	g.Expect(table.SparesLastServer(call, usable, at(2))).To(BeTrue())
}

// Guards against a sound call that is blamed for each server that crashes for another reason, as
// many of its callers leave.
func TestACallThatServersMostlyOutliveIsNotToBlame(t *testing.T) {
	for _, c := range []struct {
		outlived int // for each server that is lost
		blamed   bool
	}{{0, true}, {1, true}, {2, true}, {3, false}, {20, false}} {
		g := NewWithT(t)
		abandoned := quarantine.NewAbandoned()
		now := at(0)
		blamed := 0
		for round := range 10 {
			for i := range c.outlived {
				server := fmt.Sprintf("sound-%d-%d", round, i)
				abandoned.Add(server, quarantine.Attempt{Suspects: quarantine.Suspects{Request: "r"}, At: now, Deadline: now.Add(time.Second)})
				now = now.Add(time.Second)
				abandoned.Checked(server, quarantine.Answered, now, now)
			}
			server := fmt.Sprintf("lost-%d", round)
			abandoned.Add(server, quarantine.Attempt{Suspects: quarantine.Suspects{Request: "r"}, At: now, Deadline: now.Add(time.Second)})
			now = now.Add(2 * time.Second)
			crashes, _ := abandoned.Lost(server, quarantine.Refused, time.Time{}, now)
			blamed += len(crashes)
		}
		if c.blamed {
			g.Expect(blamed).To(Equal(10), "%d outlived", c.outlived)
		} else {
			g.Expect(blamed).To(BeZero(), "%d outlived", c.outlived)
		}
	}
}

// Guards against a sound call that is blamed for the end of a server which it had left in time, or
// that is not blamed as its server's address accepted a connection.
func TestWhatShowsLaterThatAServerHadEnded(t *testing.T) {
	for _, c := range []struct {
		name   string
		sign   quarantine.Sign
		lostAt float64 // seconds after the attempt was abandoned; 0 if that is not known
		blamed bool
	}{
		{"another incarnation", quarantine.Replaced, 0, true},
		{"connections that are refused", quarantine.Refused, 0, false},
		{"a loss that was seen while the attempt may have run", quarantine.Seen, 0.9, true},
		{"a loss that was seen later", quarantine.Seen, 1.5, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			abandoned := quarantine.NewAbandoned()
			abandoned.Add("s", quarantine.Attempt{Suspects: quarantine.Suspects{Request: "r"}, At: at(0), Deadline: at(1)})
			g.Expect(abandoned.Checked("s", quarantine.Accepted, at(1), at(1))).To(BeEmpty())
			g.Expect(abandoned.NeedsConnection("s")).To(BeFalse())
			var lostAt time.Time
			if c.lostAt > 0 {
				lostAt = at(c.lostAt)
			}
			crashes, ended := abandoned.Lost("s", c.sign, lostAt, at(3))
			g.Expect(crashes).To(HaveLen(map[bool]int{true: 1}[c.blamed]))
			g.Expect(ended).To(HaveLen(1))
			g.Expect(ended[0].Blamed).To(Equal(c.blamed))
			_, watched := abandoned.NextCheck("s")
			g.Expect(watched).To(BeFalse())
		})
	}
}

// Guards against a call that is never blamed for the end of its server, as a request that was held at
// the address of the server shows it seconds later only.
func TestALossThatIsNoticedLateMayHaveHappenedInTime(t *testing.T) {
	for _, c := range []struct {
		name       string
		answeredAt float64 // seconds after the attempt was abandoned
		blamed     bool
	}{{"the server did not answer since", -0.2, true}, {"it answered while the attempt may have run", 0.5, true}, {"it answered later", 1.1, false}} {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			abandoned := quarantine.NewAbandoned()
			abandoned.Add("s", quarantine.Attempt{Suspects: quarantine.Suspects{Request: "r"}, At: at(0), Deadline: at(1)})
			abandoned.Checked("s", quarantine.Answered, at(c.answeredAt), at(1.2))
			crashes, _ := abandoned.Lost("s", quarantine.Seen, at(2), at(2))
			if !c.blamed {
				g.Expect(crashes).To(BeEmpty())
				return
			}
			g.Expect(crashes).To(HaveLen(1))
			g.Expect(crashes[0].At).To(Equal(at(max(c.answeredAt, 0))), "the earliest possible time")
		})
	}
}

// Guards against memory that grows with the callers who leave, and with what their headers hold.
func TestAbandonedAttemptsAreBounded(t *testing.T) {
	g := NewWithT(t)
	abandoned := quarantine.NewAbandoned()
	watched := 0
	for i := range 100_000 {
		a := quarantine.Attempt{Suspects: quarantine.Suspects{Session: fmt.Sprint(i), Parts: make([]string, 100)}, At: at(0)}
		if abandoned.Add(fmt.Sprintf("s-%d", i%500), a) {
			watched++
		}
	}
	g.Expect(watched).To(Equal(128))
	crashes, ended := abandoned.Lost("s-0", quarantine.Refused, time.Time{}, at(1))
	g.Expect(ended).To(HaveLen(8))
	g.Expect(crashes).To(HaveLen(8))
	g.Expect(len(crashes[0].Parts)).To(BeNumerically("<=", 8))
	g.Expect(abandoned.Add("s-0", quarantine.Attempt{Suspects: quarantine.Suspects{Session: strings.Repeat("x", 1000)}, At: at(0)})).To(BeFalse())
}
