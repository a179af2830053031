package soak

import (
	"bufio"
	"io"
	"testing"

	. "github.com/onsi/gomega"

	"wisteriafield/internal/base/jsonlog"
	"wisteriafield/internal/decision/invariant"
)

// The soak once searched for a form of log line that the routers no longer write, so that
// it could not fail on a violation.
func TestAnInvariantViolationIsFoundInTheLog(t *testing.T) {
	g := NewWithT(t)
	r, w := io.Pipe()
	log := jsonlog.New(jsonlog.NewSink(w))
	invariant.OnViolation(func(message string) { log.WithField("part", "invariant").Error(message) })
	log.WithField("part", "keeper").Info("invariant of another part")
	invariant.Check(false, "slot of %s given twice", "redattore-1")
	lines := bufio.NewReader(r)
	text := ""
	for range 2 {
		line, err := lines.ReadString('\n')
		g.Expect(err).NotTo(HaveOccurred())
		text += line
	}
	g.Expect(violations(text)).To(HaveExactElements(ContainSubstring("slot of redattore-1 given twice")))
	g.Expect(violations("panic: x\n\nWARNING: DATA RACE\nfatal error: all goroutines are asleep\n")).To(HaveLen(3))
	g.Expect(violations("")).To(BeEmpty())
}
