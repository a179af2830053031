package quarantine_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"wisteriafield/internal/decision/quarantine"
)

func TestABlockOutlivesFurtherCrashesInTheSameMoment(t *testing.T) {
	g := NewWithT(t)
	table := quarantine.New(start.Add(-time.Minute), 3*time.Second)
	call := quarantine.Suspects{Request: "sha256:call"}
	for i, seconds := range []float64{1, 2, 3, 10, 10.01, 10.02, 10.03} {
		table.RecordCrash(quarantine.Crash{Suspects: call, Server: fmt.Sprintf("e%d", i), At: at(seconds)}, at(seconds))
	}
	table.RecordCrash(crash("other", "s1", 11, "system"), at(11))
	g.Expect(blockedParts(table, at(12))).To(Equal([]string{"sha256:call"}))
}

func TestMoreEvidenceEndsNoBlock(t *testing.T) {
	pick := func(rng *rand.Rand, names ...string) string { return names[rng.IntN(len(names))] }
	for name, suspects := range map[string]func(*rand.Rand) quarantine.Suspects{
		"call":    func(*rand.Rand) quarantine.Suspects { return quarantine.Suspects{Request: "sha256:call"} },
		"session": func(*rand.Rand) quarantine.Suspects { return prompt("system", "s1") },
		"part": func(rng *rand.Rand) quarantine.Suspects {
			return prompt("system", "deadly", pick(rng, "x", "y"), pick(rng, "s1", "s2", "s3"))
		},
	} {
		for seed := range uint64(600) {
			g := NewWithT(t)
			rng := rand.New(rand.NewPCG(seed, 28))
			table, peer := quarantine.New(start.Add(-time.Minute), 3*time.Second), quarantine.New(start.Add(-time.Minute), 3*time.Second)
			now, blocked := start, false
			for i := range 60 {
				now = now.Add(time.Duration(rng.IntN(5)) * 15 * time.Millisecond)
				if rng.IntN(5) == 0 {
					now = now.Add(3 * time.Second)
				}
				table.RecordCrash(quarantine.Crash{Suspects: suspects(rng), Server: fmt.Sprintf("e%d", i), At: now, Unanswered: seed%3 == 1 || seed%3 == 2 && rng.IntN(2) == 0}, now)
				peer.Merge(table.Report(16, true, now), now)
				found := len(table.Blocks(now)) > 0
				g.Expect(found || !blocked).To(BeTrue(), "%s, seed %d: the block is gone after crash %d", name, seed, i)
				blocked = found
			}
			g.Expect(blocked).To(BeTrue(), "%s, seed %d", name, seed)
			g.Expect(peer.Blocks(now)).NotTo(BeEmpty(), "%s, seed %d: at a peer", name, seed)
		}
	}
}
