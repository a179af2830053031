package quarantine_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"wisteriafield/internal/decision/quarantine"
)

// The request survives only at one router, between any two of the crashes.
func TestARequestThatSurvivesElsewhereBetweenCrashesIsNotBlocked(t *testing.T) {
	call := quarantine.Suspects{Request: "sha256:rates"}
	for _, c := range []struct {
		name      string
		suspects  quarantine.Suspects
		seenByOne bool          // the router where it survives sees the crashes itself
		gap       time.Duration // between two crashes
	}{
		{"a call, every 2 s", call, true, 2 * time.Second},
		{"a call, every 20 s", call, true, 20 * time.Second},
		{"a call, every minute", call, true, time.Minute},
		{"a call, crashes seen elsewhere", call, false, 10 * time.Second},
		{"a session", prompt("system", "s1"), true, 20 * time.Second},
		{"a session, crashes seen elsewhere and heard of after it survived", prompt("system", "s1"), false, 20 * time.Second},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			tables := make([]*quarantine.Table, 3) // survivals, crashes unless seenByOne, neither
			for i := range tables {
				tables[i] = quarantine.New(start.Add(-time.Minute), 3*time.Second)
			}
			observer := 1
			if c.seenByOne {
				observer = 0
			}
			now := start
			exchange := func(all bool) {
				for from := range tables {
					report := tables[from].Report(16, all, now)
					for to := range tables {
						if to != from {
							tables[to].Merge(report, now)
						}
					}
				}
			}
			for i := range 4 {
				now = now.Add(100 * time.Millisecond)
				crashAt := now
				tables[observer].RecordCrash(quarantine.Crash{Suspects: c.suspects, Server: fmt.Sprintf("e%d", i), At: now}, now)
				if !c.seenByOne && c.suspects.Session != "" {
					tables[0].RecordSurvival(c.suspects, now.Add(time.Millisecond))
				}
				exchange(false)
				for round := 0; now.Before(crashAt.Add(c.gap)); round++ {
					now = now.Add(200 * time.Millisecond)
					tables[0].RecordSurvival(c.suspects, now)
					exchange(round%8 == 1)
					for j, table := range tables {
						g.Expect(table.Blocks(now)).To(BeEmpty(), "router %d after crash %d", j, i+1)
					}
				}
			}
		})
	}
}
