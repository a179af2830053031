package quarantine_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"wisteriafield/internal/decision/quarantine"
)

var start = time.Unix(1_000, 0)

func at(seconds float64) time.Time { return start.Add(time.Duration(seconds * float64(time.Second))) }

// crash returns a crash of a server by a session whose prompt begins with the given parts.
func crash(server, session string, seconds float64, parts ...string) quarantine.Crash {
	return quarantine.Crash{Suspects: quarantine.Suspects{Session: session, Parts: parts}, Server: server, At: at(seconds)}
}

// waited returns a crash of a server that had not begun to answer the session.
func waited(server, session string, seconds float64, parts ...string) quarantine.Crash {
	c := crash(server, session, seconds, parts...)
	c.Unanswered = true
	return c
}

// prompt returns the suspects of a session, the last one given, with shared parts.
func prompt(ids ...string) quarantine.Suspects {
	return quarantine.Suspects{Parts: ids[:len(ids)-1], Session: ids[len(ids)-1]}
}

func blockedParts(t *quarantine.Table, now time.Time) []string {
	var parts []string
	for _, b := range t.Blocks(now) {
		parts = append(parts, b.Suspect)
	}
	return parts
}

func TestBlocks(t *testing.T) {
	type survival struct {
		seconds float64
		parts   []string
	}
	for _, c := range []struct {
		name      string
		crashes   []quarantine.Crash
		survivals []survival
		blocked   []string
	}{
		{name: "two servers are too few", crashes: []quarantine.Crash{
			crash("e1", "s1", 1, "system", "doc"), crash("e2", "s2", 2, "system", "doc")}},
		{name: "one server that is seen by three sessions is one crash", crashes: []quarantine.Crash{
			crash("e1", "s1", 1, "system", "doc"), crash("e1", "s2", 1, "system", "doc"), crash("e1", "s3", 1, "system", "doc")}},
		{name: "one session says nothing about the parts that it shares", crashes: []quarantine.Crash{
			crash("e1", "s1", 1, "system", "doc"), crash("e2", "s1", 2, "system", "doc"), crash("e3", "s1", 3, "system", "doc")},
			blocked: []string{"s1"}},
		{name: "the part that several sessions share", crashes: []quarantine.Crash{
			crash("e1", "s1", 1, "a", "doc"), crash("e2", "s1", 2, "a", "doc"), crash("e3", "s2", 3, "b", "doc")},
			blocked: []string{"doc"}},
		{name: "of two parts that always occur together, the later one", crashes: []quarantine.Crash{
			crash("e1", "s1", 1, "system", "doc"), crash("e2", "s2", 2, "system", "doc"), crash("e3", "s3", 3, "system", "doc")},
			blocked: []string{"doc"}},
		{name: "the first part, if the others differ", crashes: []quarantine.Crash{
			crash("e1", "s1", 1, "system", "x"), crash("e2", "s2", 2, "system", "y"), crash("e3", "s3", 3, "system", "z")},
			blocked: []string{"system"}},
		{name: "the later part is released once the earlier one explains more", crashes: []quarantine.Crash{
			crash("e1", "s1", 1, "system", "doc"), crash("e2", "s2", 2, "system", "doc"), crash("e3", "s3", 3, "system", "doc"), crash("e4", "s4", 4, "system", "x")},
			blocked: []string{"system"}},
		{name: "two parts, each with crashes of its own", crashes: []quarantine.Crash{
			crash("e1", "s1", 1, "system", "x"), crash("e2", "s2", 2, "system", "x"), crash("e3", "s3", 3, "system", "x"),
			crash("e4", "s4", 4, "system", "y"), crash("e5", "s5", 5, "system", "y"), crash("e6", "s6", 6, "system", "y")},
			survivals: []survival{{7, []string{"system"}}}, blocked: []string{"x", "y"}},
		{name: "a part that survived since is innocent", crashes: []quarantine.Crash{
			crash("e1", "s1", 1, "system", "doc"), crash("e2", "s2", 2, "system", "doc"), crash("e3", "s3", 3, "system", "doc")},
			survivals: []survival{{4, []string{"system", "doc", "s9"}}}},
		{name: "a part that survived before may have become deadly", survivals: []survival{{0, []string{"doc", "s9"}}}, crashes: []quarantine.Crash{
			crash("e1", "s1", 1, "doc"), crash("e2", "s2", 2, "doc"), crash("e3", "s3", 3, "doc")},
			blocked: []string{"doc"}},
		{name: "servers lost in one moment say nothing about the requests that waited there", crashes: []quarantine.Crash{
			waited("e1", "s1", 1, "doc"), waited("e2", "s2", 1.02, "doc"), waited("e3", "s3", 1.04, "doc"), waited("e4", "s4", 1.04, "doc")}},
		{name: "servers lost one after the other with requests that waited", crashes: []quarantine.Crash{
			waited("e1", "s1", 1, "doc"), waited("e2", "s2", 2, "doc"), waited("e3", "s3", 3, "doc")}, blocked: []string{"doc"}},
		{name: "requests that waited and are answered by others", crashes: []quarantine.Crash{
			waited("e1", "s1", 1, "doc"), waited("e2", "s2", 2, "doc"), waited("e3", "s3", 3, "doc")}, survivals: []survival{{4, []string{"doc", "s1"}}}},
		{name: "sound requests with the same first part do not release the later one", crashes: []quarantine.Crash{
			crash("e1", "s1", 1, "system", "doc"), crash("e2", "s2", 2, "system", "doc"), crash("e3", "s3", 3, "system", "doc")},
			survivals: []survival{{4, []string{"system", "s9"}}}, blocked: []string{"doc"}},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			table := quarantine.New(start.Add(-time.Minute), 3*time.Second)
			for _, s := range c.survivals {
				if s.seconds == 0 {
					table.RecordSurvival(prompt(s.parts...), at(0))
				}
			}
			for _, k := range c.crashes {
				table.RecordCrash(k, k.At)
			}
			for _, s := range c.survivals {
				if s.seconds > 0 {
					table.RecordSurvival(prompt(s.parts...), at(s.seconds))
				}
			}
			g.Expect(blockedParts(table, at(10))).To(Equal(c.blocked))
		})
	}
}

// A part that is blocked for ever would outlive the fault of the servers.
func TestABlockEndsAndOneMoreCrashRenewsIt(t *testing.T) {
	g := NewWithT(t)
	table := quarantine.New(start.Add(-time.Minute), 3*time.Second)
	for i := range 3 {
		table.RecordCrash(crash(fmt.Sprintf("e%d", i), fmt.Sprintf("s%d", i), float64(i), "doc"), at(float64(i)))
	}
	_, blocked := table.Blocked(prompt("doc", "s9"), at(300))
	g.Expect(blocked).To(BeTrue())
	_, blocked = table.Blocked(prompt("doc", "s9"), at(303))
	g.Expect(blocked).To(BeFalse())
	g.Expect(table.RecordCrash(crash("e9", "s9", 304, "doc"), at(304)).Blocks).To(BeFalse(), "the block has only been extended")
	block, blocked := table.Blocked(prompt("doc", "s10"), at(305))
	g.Expect(blocked).To(BeTrue())
	g.Expect(block).To(Equal(quarantine.Block{Suspect: "doc", Until: at(604), Crashes: 4}))
}

// Any host may send datagrams, and callers choose the IDs of their parts.
func TestTableIsBounded(t *testing.T) {
	g := NewWithT(t)
	table := quarantine.New(start.Add(-time.Minute), 3*time.Second)
	long := strings.Repeat("x", 10_000)
	for i := range 5_000 {
		c := crash(fmt.Sprintf("e%d", i), fmt.Sprintf("s%d", i), float64(i)/1000)
		for p := range 100 {
			c.Parts = append(c.Parts, fmt.Sprintf("p%d-%d", i, p))
		}
		c.Parts[99] = long
		table.Merge(quarantine.Report{Crashes: []quarantine.Crash{c, crash(long, "s", 1), crash("e", long, 1), crash("e", "s", 1e9, "future")}}, at(6))
		table.RecordSurvival(prompt(fmt.Sprintf("alive-%d", i), long), at(6))
	}
	report := table.Report(24, true, at(6))
	g.Expect(report.Crashes).To(HaveLen(24))
	for _, c := range report.Crashes {
		g.Expect(len(c.Parts)).To(BeNumerically("<=", 8))
		g.Expect(c.Parts).NotTo(ContainElement(long))
	}
	g.Expect(report.Survived).To(BeEmpty())
	g.Expect(table.Report(24, true, at(60)).Crashes).To(BeEmpty(), "old news without a block is not told")
}

// News may arrive twice, late or in another order than it happened.
func TestOrderAndRepetitionOfNewsDoNotMatter(t *testing.T) {
	g := NewWithT(t)
	reports := []quarantine.Report{
		{Crashes: []quarantine.Crash{crash("e1", "s1", 1, "a", "doc")}},
		{Crashes: []quarantine.Crash{crash("e2", "s2", 2, "b", "doc"), crash("e4", "s5", 2, "hot")}},
		{Crashes: []quarantine.Crash{crash("e3", "s3", 3, "c", "doc"), crash("e5", "s6", 2.5, "hot")}},
		{Crashes: []quarantine.Crash{crash("e6", "s7", 2.7, "hot")}},
		{Survived: map[string]time.Time{"hot": at(3), "s5": at(3), "s6": at(3), "s7": at(3)}},
	}
	for _, order := range [][]int{{0, 1, 2, 3, 4}, {4, 3, 2, 1, 0}, {2, 4, 2, 0, 0, 1, 3, 4, 1}} {
		table := quarantine.New(start.Add(-time.Minute), 3*time.Second)
		for i, k := range order {
			table.Merge(reports[k], at(3+0.1*float64(i)))
		}
		g.Expect(blockedParts(table, at(10))).To(Equal([]string{"doc"}), "order %v", order)
	}
}

// A router that has seen a part survive tells those that suspect it.
func TestASurvivalElsewhereRefutesACrash(t *testing.T) {
	g := NewWithT(t)
	accuser, witness := quarantine.New(start.Add(-time.Minute), 3*time.Second), quarantine.New(start.Add(-time.Minute), 3*time.Second)
	witness.RecordSurvival(prompt("hot", "s9"), at(4))
	for i := range 3 {
		accuser.RecordCrash(crash(fmt.Sprintf("e%d", i), fmt.Sprintf("s%d", i), float64(i), "hot"), at(float64(i)))
	}
	g.Expect(blockedParts(accuser, at(4))).To(Equal([]string{"hot"}))
	g.Expect(witness.Merge(accuser.Report(24, false, at(4.1)), at(4.1)).Blocks).To(BeFalse())
	g.Expect(accuser.Merge(witness.Report(24, false, at(4.2)), at(4.2)).Blocks).To(BeTrue())
	g.Expect(blockedParts(accuser, at(4.3))).To(BeEmpty())
}

func TestARestartedRouterLearnsOldBlocks(t *testing.T) {
	g := NewWithT(t)
	old, restarted := quarantine.New(start.Add(-time.Minute), 3*time.Second), quarantine.New(start.Add(-time.Minute), 3*time.Second)
	for i := range 5 {
		old.RecordCrash(crash(fmt.Sprintf("e%d", i), fmt.Sprintf("s%d", i), float64(i), "system", "doc"), at(float64(i)))
	}
	old.RecordSurvival(prompt("system", "s9"), at(6))
	restarted.Merge(old.Report(24, false, at(100)), at(100))
	g.Expect(blockedParts(restarted, at(100))).To(BeEmpty(), "a short message has no old crashes")
	restarted.Merge(old.Report(24, true, at(100)), at(100))
	g.Expect(blockedParts(restarted, at(100))).To(Equal([]string{"doc"}))
}

func TestARequestThatMayHaveCrashedServersSparesTheLastOne(t *testing.T) {
	g := NewWithT(t)
	table := quarantine.New(start.Add(-time.Minute), 3*time.Second)
	call := quarantine.Suspects{Request: "sha256:call"}
	last := func() []string { return []string{"e3"} }
	g.Expect(table.SparesLastServer(call, last, at(1))).To(BeFalse())
	g.Expect(table.RecordCrash(quarantine.Crash{Suspects: call, Server: "e1", At: at(1)}, at(1)).Suspected).To(BeFalse())
	g.Expect(table.SparesLastServer(call, last, at(1))).To(BeTrue())
	news := quarantine.Report{Crashes: []quarantine.Crash{{Suspects: call, Server: "e2", At: at(2)}}}
	g.Expect(table.Merge(news, at(2)).Suspected).To(BeTrue(), "peers should know at once")
	g.Expect(table.Merge(news, at(2)).Any()).To(BeFalse(), "but only once")
	g.Expect(table.SparesLastServer(call, func() []string { return []string{"e3", "e4"} }, at(2))).To(BeFalse())
	g.Expect(table.SparesLastServer(quarantine.Suspects{Request: "sha256:other"}, last, at(2))).To(BeFalse())
	g.Expect(table.SparesLastServer(call, last, at(13))).To(BeFalse(), "the others have not come back")
}

// Popular requests run at each server that is lost.
func TestARequestThatEverSurvivedMayGoToTheLastServer(t *testing.T) {
	g := NewWithT(t)
	table := quarantine.New(start.Add(-time.Minute), 3*time.Second)
	call := quarantine.Suspects{Request: "sha256:popular"}
	table.RecordSurvival(call, at(1))
	for _, server := range []string{"e1", "e2"} {
		table.RecordCrash(quarantine.Crash{Suspects: call, Server: server, At: at(2)}, at(2))
	}
	g.Expect(table.SparesLastServer(call, func() []string { return []string{"e3"} }, at(2))).To(BeFalse())
}

// The router that sends the call had noticed neither crash, or no longer remembered it.
func TestServersThatCrashedBehindOtherRoutersAreNotUsable(t *testing.T) {
	g := NewWithT(t)
	table := quarantine.New(start.Add(-time.Minute), 3*time.Second)
	call := quarantine.Suspects{Request: "sha256:call"}
	table.Merge(quarantine.Report{Crashes: []quarantine.Crash{
		{Suspects: call, Server: "e1", At: at(1)}, {Suspects: call, Server: "e2", At: at(2)},
	}}, at(2))
	g.Expect(table.SparesLastServer(call, func() []string { return []string{"e1", "e2", "e3"} }, at(2))).To(BeTrue())
	g.Expect(table.SparesLastServer(call, func() []string { return []string{"e1/2", "e2", "e3"} }, at(2))).To(BeFalse(), "one is back")
}

func TestASoundRequestIsNotKeptFromTheLastServerForLong(t *testing.T) {
	g := NewWithT(t)
	call := quarantine.Suspects{Request: "sha256:rates"}
	for _, c := range []struct {
		name   string
		lost   []string
		usable []string
	}{
		{"a service with one server that crashed twice", []string{"e1/1", "e1/2"}, []string{"e1/3"}},
		{"servers that were cut off from one router", []string{"e1", "e2", "e3"}, []string{"e1", "e2", "e3"}},
	} {
		table := quarantine.New(start.Add(-time.Minute), 3*time.Second)
		for i, s := range c.lost {
			now := at(1 + float64(i)/100)
			table.RecordCrash(quarantine.Crash{Suspects: call, Server: s, At: now}, now)
		}
		usable := func() []string { return c.usable }
		g.Expect(table.SparesLastServer(call, usable, at(2))).To(BeTrue(), c.name)
		g.Expect(table.SparesLastServer(call, usable, at(40))).To(BeFalse(), c.name)
		g.Expect(table.Blocks(at(40))).To(BeEmpty(), c.name)
	}
}

// deadlySessions returns a table with the crashes of two sessions under a part that all
// prompts share and that has survived since.
func deadlySessions() *quarantine.Table {
	table := quarantine.New(start.Add(-time.Minute), 3*time.Second)
	for i := range 6 {
		table.RecordCrash(crash(fmt.Sprintf("e%d", i), fmt.Sprintf("deadly-%d", i/3), float64(i), "first"), at(float64(i)))
	}
	table.RecordSurvival(prompt("first", "sound"), at(7))
	return table
}

func TestARouterThatStartsDoesNotBlockWhatAllPromptsShare(t *testing.T) {
	g := NewWithT(t)
	old, restarted := deadlySessions(), quarantine.New(at(60), 3*time.Second)
	g.Expect(blockedParts(old, at(60))).To(Equal([]string{"deadly-0", "deadly-1"}))
	restarted.Merge(old.Report(48, true, at(60.1)), at(60.1))
	g.Expect(blockedParts(restarted, at(60.1))).To(Equal([]string{"deadly-0", "deadly-1"}))
	g.Expect(blockedParts(restarted, at(64))).To(Equal([]string{"deadly-0", "deadly-1"}))
}

func TestARouterThatBlocksWhatSurvivedElsewhereIsTold(t *testing.T) {
	g := NewWithT(t)
	witness, accuser := deadlySessions(), quarantine.New(start.Add(-time.Minute), 3*time.Second)
	for i := range 6 {
		accuser.RecordCrash(crash(fmt.Sprintf("e%d", i), fmt.Sprintf("deadly-%d", i/3), float64(i), "first"), at(float64(i)))
	}
	g.Expect(blockedParts(accuser, at(60))).To(Equal([]string{"first"}))
	witness.Merge(accuser.Report(16, true, at(60)), at(60))
	accuser.Merge(witness.Report(16, false, at(60.1)), at(60.1))
	g.Expect(blockedParts(accuser, at(60.2))).To(Equal([]string{"deadly-0", "deadly-1"}))
}
