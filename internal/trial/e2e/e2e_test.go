// Package e2e holds the end-to-end tests. They run the programs as separate processes,
// which they kill, pause and cut off from one another.
package e2e

import (
	"context"
	"os/exec"
	"path/filepath"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/google/uuid"

	"wisteriafield/internal/trial/caller"
	"wisteriafield/internal/trial/fleet"
)

func TestEndToEnd(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "End-to-end tests")
}

var binDir string

var _ = BeforeSuite(func() {
	binDir = GinkgoT().TempDir()
	for _, program := range []string{".", "./cmd/standin"} {
		build := exec.Command("go", "build", "-o", binDir+"/", program)
		build.Dir = filepath.Join("..", "..", "..")
		out, err := build.CombinedOutput()
		Expect(err).NotTo(HaveOccurred(), string(out))
	}
})

// harness is a running fleet and a caller.
type harness struct {
	*fleet.Fleet
	caller *caller.Caller
	ctx    context.Context
}

// startFleet starts a fleet of n routers and waits until its configuration is in
// effect.
func startFleet(n int) *harness {
	h := &harness{Fleet: fleet.New(binDir, GinkgoT().TempDir()), caller: caller.New()}
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Minute)
	h.ctx = ctx
	DeferCleanup(func() {
		cancel()
		h.expectNoInvariantViolations()
		h.Stop()
	})
	Expect(h.Start(n)).To(Succeed())
	Expect(h.Configure(ctx, func(string) {})).To(Succeed())
	return h
}

// expectNoInvariantViolations checks the dump of every router that responds.
func (h *harness) expectNoInvariantViolations() {
	for _, r := range h.Routers {
		if r.Process == nil {
			continue
		}
		r.Continue()
		if d, err := h.Dump(r); err == nil {
			Expect(d.InvariantViolations).To(BeZero(), "invariants violated on "+r.Host.Name)
		}
	}
}

// draftRequest returns a request for a draft of the given length.
func draftRequest(tokens int) caller.Request {
	return caller.Request{
		Key: fleet.KeyQalamdaan, IdempotencyKey: uuid.NewString(), Model: "costing-llm", MaxTokens: tokens,
		Prompt: "Draft a budget justification for two postdocs and a field survey in Punjab.",
	}
}

// newBookingKey returns an idempotency key for a non-idempotent call.
func newBookingKey() string {
	id, err := uuid.NewV7()
	Expect(err).NotTo(HaveOccurred())
	return id.String()
}

// streamDrafts streams n drafts at once through all routers, checks that all are
// complete and returns them. It calls midStream once the first draft has a third of
// its tokens.
func (h *harness) streamDrafts(n, tokens int, midStream func(first *caller.Answer)) []*caller.Answer {
	answers := make([]*caller.Answer, n)
	errs := make([]error, n)
	done := make(chan int, n)
	reached := make(chan *caller.Answer, 1)
	for i := range n {
		go func() {
			defer GinkgoRecover()
			defer func() { done <- i }()
			routers := append(h.CallerAddresses()[i%len(h.Routers):], h.CallerAddresses()[:i%len(h.Routers)]...)
			answers[i], errs[i] = h.caller.Stream(h.ctx, routers, draftRequest(tokens), func(a *caller.Answer) {
				if i == 0 && len(a.Texts) == tokens/3 {
					snapshot := *a
					reached <- &snapshot
				}
			})
		}()
	}
	select {
	case first := <-reached:
		midStream(first)
	case <-h.ctx.Done():
		Fail("the first stream did not get a third of its tokens")
	}
	for range n {
		<-done
	}
	for i := range n {
		Expect(errs[i]).NotTo(HaveOccurred())
		Expect(answers[i].Check(tokens)).To(Succeed())
	}
	return answers
}

// routerNamed returns the router with the given name.
func (h *harness) routerNamed(name string) *fleet.Router {
	for _, r := range h.Routers {
		if r.Host.Name == name {
			return r
		}
	}
	Fail("no router " + name)
	return nil
}

// keeperOf returns the router that is the keeper of an answer.
func (h *harness) keeperOf(a *caller.Answer) *fleet.Router {
	return h.routerNamed(keeperName(a))
}
