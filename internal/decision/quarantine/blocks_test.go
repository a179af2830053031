package quarantine_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"wisteriafield/internal/decision/quarantine"
)

// Trimmed evidence weighed less than three crashes of something new.
func TestABlockOutlivesNewSuspectsBesideIt(t *testing.T) {
	for _, c := range []struct {
		name       string
		survived   bool
		bystanders []quarantine.Suspects // at the last two crashes and at another server
	}{
		{"never survived, a new part beside", false, []quarantine.Suspects{prompt("doc", "b1"), prompt("doc", "b2"), prompt("doc", "b3")}},
		{"survived before, a new session beside", true, []quarantine.Suspects{prompt("b"), prompt("b"), prompt("b")}},
		{"survived before, a new call beside", true, []quarantine.Suspects{{Request: "sha256:b"}, {Request: "sha256:b"}, {Request: "sha256:b"}}},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			table := quarantine.New(start.Add(-time.Minute), 3*time.Second)
			if c.survived {
				table.RecordSurvival(prompt("deadly"), at(0))
			}
			for i := range 8 {
				s := 1 + float64(i)/4
				e := fmt.Sprintf("e%d", i)
				table.RecordCrash(crash(e, "deadly", s), at(s))
				if i >= 6 {
					table.RecordCrash(quarantine.Crash{Suspects: c.bystanders[i-6], Server: e, At: at(s)}, at(s))
				}
			}
			_, blocked := table.Blocked(prompt("deadly"), at(9))
			g.Expect(blocked).To(BeTrue())
			table.RecordCrash(quarantine.Crash{Suspects: c.bystanders[2], Server: "other", At: at(10)}, at(10))
			_, blocked = table.Blocked(prompt("deadly"), at(30))
			g.Expect(blocked).To(BeTrue())
		})
	}
}

// What survived before it became deadly weighed less than a new one beside it.
func TestADeadlySessionThatSurvivedIsBlockedBesideANewOne(t *testing.T) {
	for _, bystanders := range []string{"session", "part"} {
		t.Run(bystanders, func(t *testing.T) {
			table := quarantine.New(start.Add(-time.Minute), 3*time.Second)
			table.RecordSurvival(prompt("deadly"), at(0))
			n := 0
			for ; n < 20; n++ {
				now := at(10 * float64(n+1))
				if _, blocked := table.Blocked(prompt("deadly"), now); blocked {
					break
				}
				e := fmt.Sprintf("e%d", n)
				table.RecordCrash(crash(e, "deadly", 10*float64(n+1)), now)
				b := prompt(fmt.Sprintf("new%d", n/3))
				if bystanders == "part" {
					b = prompt(fmt.Sprintf("new%d", n/3), fmt.Sprintf("b%d", n))
				}
				if _, blocked := table.Blocked(b, now); !blocked {
					table.RecordCrash(quarantine.Crash{Suspects: b, Server: e, At: now}, now)
				}
			}
			t.Log("crashes", n)
			NewWithT(t).Expect(n).To(BeNumerically("<=", 4))
		})
	}
}

func TestASurvivalBeforeTheCrashesEndsNoBlock(t *testing.T) {
	g := NewWithT(t)
	table := quarantine.New(start.Add(-time.Minute), 3*time.Second)
	for i := 1; i <= 3; i++ {
		e := fmt.Sprintf("e%d", i)
		table.RecordCrash(crash(e, "a", float64(i)), at(float64(i)))
		table.RecordCrash(crash(e, "z-deadly", float64(i)), at(float64(i)))
	}
	table.RecordCrash(crash("e4", "z-deadly", 4), at(4))
	g.Expect(blockedParts(table, at(20))).To(Equal([]string{"z-deadly"}))
	table.Merge(quarantine.Report{Survived: map[string]time.Time{"z-deadly": at(0.5)}}, at(20))
	g.Expect(blockedParts(table, at(20))).To(Equal([]string{"z-deadly"}))
}

// The crash that was recorded first was told, though only the other one had begun.
func TestARestartedRouterLearnsABlockWhereOthersWaited(t *testing.T) {
	for _, survived := range []bool{false, true} {
		t.Run(fmt.Sprint(survived), func(t *testing.T) {
			g := NewWithT(t)
			old, restarted := quarantine.New(start.Add(-time.Minute), 3*time.Second), quarantine.New(start.Add(99*time.Second), 3*time.Second)
			if survived {
				old.RecordSurvival(prompt("doc", "s9"), at(0))
			}
			for i := 1; i <= 3; i++ {
				e := fmt.Sprintf("e%d", i)
				old.RecordCrash(waited(e, "b", float64(i), "doc"), at(float64(i)))
				old.RecordCrash(crash(e, fmt.Sprintf("s%d", i), float64(i), "doc"), at(float64(i)))
			}
			old.RecordSurvival(prompt("b"), at(7))
			g.Expect(blockedParts(old, at(100))).To(Equal([]string{"doc"}))
			for i := range 20 {
				now := at(100 + float64(i)/4)
				restarted.Merge(old.Report(24, true, now), now)
			}
			g.Expect(blockedParts(restarted, at(106))).To(Equal([]string{"doc"}))
		})
	}
}

// Late news refutes two of the three sessions that showed the part.
func TestASurvivalBetweenCrashesReleasesAPart(t *testing.T) {
	g := NewWithT(t)
	table := quarantine.New(start.Add(-time.Minute), 3*time.Second)
	table.RecordSurvival(prompt("s1"), at(0))
	for i, s := range []string{"s2", "s3", "s1", "s1", "s1"} {
		table.RecordCrash(crash(fmt.Sprintf("e%d", i+1), s, float64(i+1), "system"), at(float64(i+1)))
	}
	table.Merge(quarantine.Report{Survived: map[string]time.Time{"system": at(2.5)}}, at(5.5))
	g.Expect(blockedParts(table, at(20))).To(Equal([]string{"s1"}))
}

func TestAPartIsNotBlockedByOneSessionAfterOldCrashesAreForgotten(t *testing.T) {
	g := NewWithT(t)
	table := quarantine.New(start.Add(-time.Minute), 3*time.Second)
	for i := range 3 {
		table.RecordCrash(crash(fmt.Sprintf("e%d", i), fmt.Sprintf("s%d", i), float64(i), "system"), at(float64(i)))
	}
	var r quarantine.Report
	for i := range 3 {
		r.Crashes = append(r.Crashes, crash(fmt.Sprintf("f%d", i), "deadly", 1800+float64(i), "system"))
	}
	table.Merge(r, at(1803))
	g.Expect(blockedParts(table, at(1810))).To(Equal([]string{"deadly"}))
}

func TestSurvivalsBeforeDoNotCrowdOutThoseThatRefute(t *testing.T) {
	g := NewWithT(t)
	knows, learns := quarantine.New(start.Add(-time.Minute), 3*time.Second), quarantine.New(start.Add(-time.Minute), 3*time.Second)
	// hot: three crashes, survived since, in the evidence of a block
	for i := 1; i <= 3; i++ {
		var parts []string
		for p := range 6 {
			parts = append(parts, fmt.Sprintf("p%d-%d", i, p))
		}
		parts = append(parts, "hot", "D")
		knows.RecordSurvival(prompt(append(parts[:6:6], "x")...), at(0))
		c := crash(fmt.Sprintf("e%d", i), fmt.Sprintf("s%d", i), float64(i), parts...)
		knows.RecordCrash(c, c.At)
		knows.RecordSurvival(prompt("hot", "y"), at(float64(i)+0.5))
	}
	g.Expect(blockedParts(knows, at(20))).To(Equal([]string{"D"}))
	for _, n := range []int{4, 16} {
		r := knows.Report(n, true, at(20))
		t.Log(n, len(r.Crashes), len(r.Survived))
		g.Expect(r.Survived).To(HaveKey("hot"), "n %d", n)
	}
	_ = learns
}
