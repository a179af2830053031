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

// TestGuaranteesHoldUnderRandomFaults is a short soak for CI. DEVELOPERS.md says how to
// run long ones.
func TestGuaranteesHoldUnderRandomFaults(t *testing.T) {
	g := NewWithT(t)
	bin := t.TempDir()
	for _, program := range []string{".", "./cmd/standin"} {
		build := exec.Command("go", "build", "-o", bin+"/", program)
		build.Dir = filepath.Join("..", "..", "..")
		out, err := build.CombinedOutput()
		g.Expect(err).NotTo(HaveOccurred(), string(out))
	}
	for _, seed := range []uint64{1, 2} {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			opts := edgesoak.Options{Seed: seed, Duration: 16 * time.Second, Routers: 4, Engines: 6, Services: 2}
			NewWithT(t).Expect(edgesoak.Run(context.Background(), bin, opts)).To(Succeed())
		})
	}
}
