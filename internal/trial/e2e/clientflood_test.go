package e2e

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"wisteriafield/internal/trial/caller"
	"wisteriafield/internal/trial/clientflood"
	"wisteriafield/internal/trial/fleet"
)

const (
	foreignClients = 300
	foreignTime    = 4 * time.Second
	foreignBody    = 1 << 20 // the largest that is legal
	// maxForeignMemory is what a router may take, in bytes, and maxForeignDescriptors what it may
	// have open: a connection of each client, one to a service for each, and its own.
	maxForeignMemory      = 128 << 20
	maxForeignDescriptors = 2*foreignClients + 200
)

// Bodies of requests had a bound each and none of all.
func TestARouterOfOurInterfaceOutlivesBodiesOfAllKinds(t *testing.T) {
	bin := t.TempDir()
	for _, program := range []string{".", "./cmd/standin"} {
		build := exec.Command("go", "build", "-o", bin+"/", program)
		build.Dir = filepath.Join("..", "..", "..")
		build.Env = append(os.Environ(), "GOFLAGS=") // the race detector takes memory of its own
		out, err := build.CombinedOutput()
		NewWithT(t).Expect(err).NotTo(HaveOccurred(), string(out))
	}
	for _, kind := range clientflood.Kinds(foreignBody) {
		t.Run(kind.Name, func(t *testing.T) { testForeignClients(t, bin, kind) })
	}
}

func testForeignClients(t *testing.T, bin string, kind clientflood.Kind) {
	g := NewWithT(t)
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Minute)
	defer cancel()
	f := fleet.New(bin, t.TempDir())
	f.ExtraBounds = fmt.Sprintf("BodyMemory = %d\n", 16<<20)
	defer f.Stop()
	g.Expect(f.Start(1)).To(Succeed())
	g.Expect(f.Configure(ctx, func(string) {})).To(Succeed())
	router := f.Routers[0]
	address := f.CallerAddresses()[0]

	floodCtx, endFlood := context.WithTimeout(ctx, foreignTime)
	defer endFlood()
	var clients sync.WaitGroup
	for i := range foreignClients {
		path := []string{"/services/grant-ledger/rates", "/v1/completions"}[i%2]
		head := fmt.Sprintf("POST %s HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer %s\r\nContent-Type: application/json\r\n", path, fleet.KeyQalamdaan)
		clients.Go(func() {
			for floodCtx.Err() == nil {
				kind.Send(floodCtx, address, head)
			}
		})
	}
	descriptors := 0
	for floodCtx.Err() == nil {
		open, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", router.PID()))
		g.Expect(err).NotTo(HaveOccurred())
		descriptors = max(descriptors, len(open))
		time.Sleep(200 * time.Millisecond)
	}
	clients.Wait()
	peak := peakMemory(g, router.PID())
	t.Logf("%d MB and %d descriptors at the peak", peak>>20, descriptors)
	g.Expect(router.Running()).To(BeTrue())
	g.Expect(peak).To(BeNumerically("<", maxForeignMemory))
	g.Expect(descriptors).To(BeNumerically("<", maxForeignDescriptors))
	client := caller.New()
	g.Eventually(func() (int, error) {
		reply, err := client.Call(ctx, address, fleet.KeyScordia, "", http.MethodGet, "/banco/availability", "")
		return reply.Status, err
	}).WithTimeout(20 * time.Second).Should(Equal(http.StatusOK))
}

// peakMemory returns the largest resident set that a process ever had, in bytes.
func peakMemory(g *WithT, pid int) int64 {
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	g.Expect(err).NotTo(HaveOccurred())
	_, rest, _ := strings.Cut(string(status), "VmHWM:")
	kb, err := strconv.ParseInt(strings.TrimSpace(strings.SplitN(rest, "kB", 2)[0]), 10, 64)
	g.Expect(err).NotTo(HaveOccurred())
	return kb << 10
}
