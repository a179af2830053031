package quarantine_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"wisteriafield/internal/decision/quarantine"
)

// Requests that may only have waited were blamed as those that had begun.
func TestRequestsThatWaitDoNotChangeWhatIsBlamed(t *testing.T) {
	for _, c := range []struct {
		name     string
		survived quarantine.Suspects // before
		crashes  []quarantine.Crash
		blocked  []string
	}{
		{name: "one that waited beside a deadly session", crashes: []quarantine.Crash{
			crash("e1", "s1", 1, "doc"), crash("e2", "s1", 2, "doc"), crash("e3", "s1", 3, "doc"), waited("e4", "b", 3.5, "doc")},
			blocked: []string{"s1"}},
		{name: "at the same server", crashes: []quarantine.Crash{
			crash("e1", "s1", 1, "doc"), crash("e2", "s1", 2, "doc"), crash("e3", "s1", 3, "doc"), waited("e3", "b", 3, "doc")},
			blocked: []string{"s1"}},
		{name: "beside a deadly session that is not answered either", crashes: []quarantine.Crash{
			waited("e1", "s1", 1, "doc"), waited("e1", "b1", 1, "doc"), waited("e2", "s1", 2, "doc"), waited("e2", "b2", 2, "doc"), waited("e3", "s1", 3, "doc")},
			blocked: []string{"s1"}},
		{name: "those that share the first part of a deadly one", crashes: []quarantine.Crash{
			crash("e1", "s1", 1, "x", "deadly"), crash("e2", "s2", 2, "x", "deadly"), crash("e3", "s3", 3, "y", "deadly"),
			waited("e4", "b1", 4, "x"), waited("e5", "b2", 5, "x")},
			blocked: []string{"deadly"}},
		{name: "an outage of all servers under what all prompts share", survived: prompt("system", "before"), crashes: []quarantine.Crash{
			waited("e1", "s1", 1, "system"), waited("e2", "s2", 1.05, "system"), waited("e3", "s3", 1.5, "system")}},
		{name: "a power cut that routers notice one after the other", crashes: []quarantine.Crash{
			waited("e1", "s1", 1, "doc"), waited("e2", "s2", 1.03, "doc"), waited("e3", "s3", 1.06, "doc")}},
		{name: "a session that survived before, beside two deadly things", survived: prompt("system", "again"), crashes: []quarantine.Crash{
			waited("e1", "d1", 1, "system", "deadly"), waited("e1", "again", 1, "system"), waited("e2", "d2", 2, "system", "deadly"), waited("e2", "again", 2, "system"),
			waited("e3", "D", 3, "system"), waited("e3", "again", 3, "system"), waited("e4", "D", 4, "system"), waited("e4", "again", 4, "system"),
			waited("e5", "D", 5, "system"), waited("e6", "d3", 6, "system", "deadly")},
			blocked: []string{"D", "deadly"}},
	} {
		t.Run(c.name, func(t *testing.T) {
			table := quarantine.New(start.Add(-time.Minute), 3*time.Second)
			table.RecordSurvival(c.survived, at(0.5))
			for _, k := range c.crashes {
				table.RecordCrash(k, k.At)
			}
			NewWithT(t).Expect(blockedParts(table, at(20))).To(Equal(c.blocked))
		})
	}
}

// Each session with the part crashed servers until it was blocked by itself.
func TestADeadlyPartInFewSessionsReachesFewServersLate(t *testing.T) {
	for _, unanswered := range []bool{false, true} {
		t.Run(fmt.Sprint("unanswered: ", unanswered), func(t *testing.T) {
			table, crashes, late := quarantine.New(start.Add(-time.Minute), 3*time.Second), 0, 0
			var thirdAt time.Time
			for i := range 4 {
				now := at(10 * float64(1+i))
				s := prompt("first", "deadly", fmt.Sprintf("s%d", i))
				for range 5 {
					now = now.Add(300 * time.Millisecond)
					if _, blocked := table.Blocked(s, now); blocked {
						break
					}
					if crashes >= 3 && now.Sub(thirdAt) > 3*time.Second {
						late++
					}
					crashes++
					if crashes == 3 {
						thirdAt = now
					}
					table.RecordCrash(quarantine.Crash{Suspects: s, Server: fmt.Sprintf("e%d", crashes), At: now, Unanswered: unanswered}, now)
				}
			}
			NewWithT(t).Expect(late).To(BeNumerically("<=", 3))
		})
	}
}
