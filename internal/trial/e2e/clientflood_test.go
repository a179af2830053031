package e2e

import (
	"context"
	"fmt"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"wisteriafield/internal/trial/caller"
	"wisteriafield/internal/trial/clientflood"
	"wisteriafield/internal/trial/fleet"
	"wisteriafield/internal/trial/procfs"
)

const (
	foreignClients = 300
	// manyForeignClients is the number of those that only take connections.
	manyForeignClients = 1200
	foreignHeader      = 15 << 10 // of its lines, below the largest that is legal
	foreignTime        = 4 * time.Second
	foreignBody        = 1 << 20 // the largest that is legal
	// maxForeignMemory is what a router may take, in bytes, and maxForeignDescriptors what it may
	// have open: a connection of each client, one to a service for each, and its own.
	maxForeignMemory      = 128 << 20
	maxForeignDescriptors = 2*foreignClients + 200
)

// Bodies of requests had a bound each and none of all.
func TestARouterOfOurInterfaceOutlivesBodiesOfAllKinds(t *testing.T) {
	bin := buildForeign(t)
	for _, kind := range clientflood.Kinds(foreignBody) {
		t.Run(kind.Name, func(t *testing.T) { testForeignClients(t, bin, kind, foreignClients, "") })
	}
}

// Headers of requests and connections had no bound of all.
func TestARouterOfOurInterfaceOutlivesHeadersAndConnections(t *testing.T) {
	bin := buildForeign(t)
	const bounds = "HeaderMemory = 8388608\nConnections = 280\nReceiveMemory = 33554432\n"
	for _, kind := range clientflood.HeaderKinds(foreignHeader) {
		t.Run(kind.Name, func(t *testing.T) { testForeignClients(t, bin, kind, foreignClients, bounds) })
	}
	for _, kind := range clientflood.ManyKinds() {
		t.Run(kind.Name, func(t *testing.T) { testForeignClients(t, bin, kind, manyForeignClients, bounds) })
	}
}

// buildForeign builds the programs and returns their directory.
func buildForeign(t *testing.T) string {
	t.Helper()
	bin := t.TempDir()
	for _, program := range []string{".", "./cmd/standin"} {
		build := exec.Command("go", "build", "-o", bin+"/", program)
		build.Dir = filepath.Join("..", "..", "..")
		build.Env = append(os.Environ(), "GOFLAGS=") // the race detector takes memory of its own
		out, err := build.CombinedOutput()
		NewWithT(t).Expect(err).NotTo(HaveOccurred(), string(out))
	}
	return bin
}

func testForeignClients(t *testing.T, bin string, kind clientflood.Kind, n int, bounds string) {
	g := NewWithT(t)
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Minute)
	defer cancel()
	f := fleet.New(bin, t.TempDir())
	f.ExtraBounds = fmt.Sprintf("HostMemory = %d\nBodyMemory = %d\n", maxForeignMemory, 16<<20) + bounds
	defer f.Stop()
	g.Expect(f.Start(1)).To(Succeed())
	g.Expect(f.Configure(ctx, func(string) {})).To(Succeed())
	router := f.Routers[0]
	address := f.CallerAddresses()[0]

	floodCtx, endFlood := context.WithTimeout(ctx, foreignTime)
	defer endFlood()
	var clients sync.WaitGroup
	for i := range n {
		path := []string{"/services/grant-ledger/rates", "/v1/completions"}[i%2]
		head := fmt.Sprintf("POST %s HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer %s\r\nContent-Type: application/json\r\n", path, fleet.KeyQalamdaan)
		clients.Go(func() {
			for floodCtx.Err() == nil {
				kind.Send(floodCtx, address, head)
			}
		})
	}
	descriptors, together, samples := 0, int64(0), 0
	var unread atomic.Int64
	clients.Go(func() { // the table of sockets is read slowly if many have closed
		for floodCtx.Err() == nil {
			n, err := procfs.Unread(netip.MustParseAddrPort(address))
			g.Expect(err).NotTo(HaveOccurred())
			unread.Store(n)
			time.Sleep(50 * time.Millisecond)
		}
	})
	for ; floodCtx.Err() == nil; samples++ {
		together = max(together, int64(procfs.ReadUsage(router.PID()).Memory*(1<<20))+unread.Load())
		descriptors = max(descriptors, procfs.Descriptors(router.PID()))
		time.Sleep(10 * time.Millisecond)
	}
	clients.Wait()
	peak := procfs.Peak(router.PID())
	t.Logf("%d MB, %d MB with what was not read, and %d descriptors at the peak, %d samples", peak>>20, together>>20, descriptors, samples)
	g.Expect(router.Running()).To(BeTrue())
	g.Expect(peak).To(BeNumerically("<", maxForeignMemory))
	g.Expect(together).To(BeNumerically("<", maxForeignMemory))
	g.Expect(descriptors).To(BeNumerically("<", maxForeignDescriptors))
	client := caller.New()
	g.Eventually(func() (int, error) {
		reply, err := client.Call(ctx, address, fleet.KeyScordia, "", http.MethodGet, "/banco/availability", "")
		return reply.Status, err
	}).WithTimeout(20 * time.Second).Should(Equal(http.StatusOK))
}
