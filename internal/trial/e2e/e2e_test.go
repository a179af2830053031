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

var bin string

var _ = BeforeSuite(func() {
	bin = GinkgoT().TempDir()
	for _, program := range []string{".", "./cmd/standin"} {
		build := exec.Command("go", "build", "-o", bin+"/", program)
		build.Dir = filepath.Join("..", "..", "..")
		out, err := build.CombinedOutput()
		Expect(err).NotTo(HaveOccurred(), string(out))
	}
})

// world is a fleet with a caller in it.
type world struct {
	*fleet.Fleet
	caller *caller.Caller
	ctx    context.Context
}

// given starts a fleet of n routers with its configuration in force.
func given(n int) *world {
	w := &world{Fleet: fleet.New(bin, GinkgoT().TempDir()), caller: caller.New()}
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Minute)
	w.ctx = ctx
	DeferCleanup(func() {
		cancel()
		w.noInvariantBroke()
		w.Stop()
	})
	Expect(w.Start(n)).To(Succeed())
	Expect(w.Configure(ctx, func(string) {})).To(Succeed())
	return w
}

// noInvariantBroke looks into every router that answers.
func (w *world) noInvariantBroke() {
	for _, r := range w.Routers {
		if r.Process == nil {
			continue
		}
		r.Continue()
		if d, err := w.Dump(r); err == nil {
			Expect(d.InvariantViolations).To(BeZero(), "invariants broke on "+r.Host.Name)
		}
	}
}

func draft(tokens int) caller.Request {
	return caller.Request{
		Key: fleet.KeyQalamdaan, IdempotencyKey: uuid.NewString(), Model: "costing-llm", MaxTokens: tokens,
		Prompt: "Draft a budget justification for two postdocs and a field survey in Punjab.",
	}
}

// bookingKey returns a key for a call that must not repeat.
func bookingKey() string {
	id, err := uuid.NewV7()
	Expect(err).NotTo(HaveOccurred())
	return id.String()
}

// streams runs n drafts at once through all routers and returns the answers.
// The act runs when the first of them has got a third of its tokens.
func (w *world) streams(n, tokens int, act func(first *caller.Answer)) []*caller.Answer {
	answers := make([]*caller.Answer, n)
	errs := make([]error, n)
	done := make(chan int, n)
	reached := make(chan *caller.Answer, 1)
	for i := range n {
		go func() {
			defer GinkgoRecover()
			defer func() { done <- i }()
			routers := append(w.CallerAddresses()[i%len(w.Routers):], w.CallerAddresses()[:i%len(w.Routers)]...)
			answers[i], errs[i] = w.caller.Stream(w.ctx, routers, draft(tokens), func(a *caller.Answer) {
				if i == 0 && len(a.Texts) == tokens/3 {
					copied := *a
					reached <- &copied
				}
			})
		}()
	}
	select {
	case first := <-reached:
		act(first)
	case <-w.ctx.Done():
		Fail("no stream got going")
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

// router returns the router with a name.
func (w *world) router(name string) *fleet.Router {
	for _, r := range w.Routers {
		if r.Host.Name == name {
			return r
		}
	}
	Fail("no router " + name)
	return nil
}

// keeperOf returns the router that keeps the copy of an answer.
func (w *world) keeperOf(a *caller.Answer) *fleet.Router {
	return w.router(keeperName(a))
}
