package edgesoak_test

import (
	"context"
	"fmt"
	"os/exec"
	"path/filepath"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"wisteriafield/internal/trial/edgesoak"
)

// regressions are seeds of soaks with deadly requests that failed once, with the cause.
var regressions = []uint64{
	103, // a shared part crashed engines before the heads of their answers, all routers were killed
}

// TestGuaranteesHoldUnderRandomFaults is a short soak for CI. DEVELOPERS.md says how to
// run long ones.
func TestGuaranteesHoldUnderRandomFaults(t *testing.T) {
	bin := buildPrograms(t)
	for _, seed := range []uint64{1, 2} {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			opts := edgesoak.Options{Seed: seed, Duration: 16 * time.Second, Routers: 4, Engines: 6, Services: 2}
			NewWithT(t).Expect(edgesoak.Run(context.Background(), bin, opts)).To(Succeed())
		})
	}
}

// TestNoAnswerIsLostAroundPlannedWork has no unplanned fault that excuses a cut.
func TestNoAnswerIsLostAroundPlannedWork(t *testing.T) {
	opts := edgesoak.Options{Seed: 1, Duration: 16 * time.Second, Routers: 4, Engines: 6, Services: 2, Others: 2, Planned: true}
	NewWithT(t).Expect(edgesoak.Run(context.Background(), buildPrograms(t), opts)).To(Succeed())
}

func TestEachRouterHasAChangeInTimeBesideFaultsOfOthers(t *testing.T) {
	opts := edgesoak.Options{Seed: 1, Duration: 16 * time.Second, Routers: 6, Engines: 2, Services: 1, Others: 2, Storms: true}
	NewWithT(t).Expect(edgesoak.Run(context.Background(), buildPrograms(t), opts)).To(Succeed())
}

func TestRequestsThatCrashServersAreStoppedUnderRandomFaults(t *testing.T) {
	bin := buildPrograms(t)
	for _, seed := range append([]uint64{1}, regressions...) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			opts := edgesoak.Options{Seed: seed, Duration: 20 * time.Second, Routers: 4, Engines: 6, Services: 3, Deadly: 1}
			NewWithT(t).Expect(edgesoak.Run(context.Background(), bin, opts)).To(Succeed())
		})
	}
}

// Guards against requests that crash server after server since their callers leave before each
// crash (review/8).
func TestRequestsThatCrashServersAfterTheirCallersLeftAreStoppedUnderRandomFaults(t *testing.T) {
	opts := edgesoak.Options{Seed: 1, Duration: 20 * time.Second, Routers: 4, Engines: 6, Services: 3, Deadly: 1, Leaving: true}
	NewWithT(t).Expect(edgesoak.Run(context.Background(), buildPrograms(t), opts)).To(Succeed())
}

// buildPrograms builds the programs of a soak and returns their directory.
func buildPrograms(t *testing.T) string {
	t.Helper()
	bin := t.TempDir()
	for _, program := range []string{".", "./cmd/standin"} {
		build := exec.Command("go", "build", "-o", bin+"/", program)
		build.Dir = filepath.Join("..", "..", "..")
		out, err := build.CombinedOutput()
		NewWithT(t).Expect(err).NotTo(HaveOccurred(), string(out))
	}
	return bin
}
