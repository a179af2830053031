package node_test

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/sirupsen/logrus"

	"wisteriafield/internal/config/document"
	"wisteriafield/internal/config/settings"
	"wisteriafield/internal/platform/hosts"
	"wisteriafield/internal/platform/publish"
	"wisteriafield/internal/router/node"
	"wisteriafield/internal/standin/engine"
	"wisteriafield/internal/standin/faults"
	"wisteriafield/internal/trial/caller"
	"wisteriafield/platform/kv"
	"wisteriafield/platform/standin/platform"
)

var update = flag.Bool("update", false, "write golden files")

// builder starts a small system in this process: platform, engines and routers.
type builder struct {
	g        *WithT
	platform *platform.Server
	store    *kv.Client
	address  string
	engines  []string
	stops    []func()
}

// newBuilder starts a platform without hosts or configuration.
func newBuilder(t *testing.T) *builder {
	b := &builder{g: NewWithT(t), platform: platform.New(platform.Config{})}
	b.address = b.serve(&b.platform.Gate, b.platform.Handler())
	b.store = kv.New(kv.Config{Address: b.address, Timeout: time.Second})
	t.Cleanup(func() {
		for i := len(b.stops) - 1; i >= 0; i-- {
			b.stops[i]()
		}
	})
	return b
}

// serve listens on a free port and returns the address.
func (b *builder) serve(injector *faults.Injector, h http.Handler) string {
	s, err := faults.Start("127.0.0.1:0", injector, h)
	b.g.Expect(err).NotTo(HaveOccurred())
	b.stops = append(b.stops, s.Kill)
	return s.Address
}

// engine starts a stand-in engine and adds it to the next configuration.
func (b *builder) engine(name string) *builder {
	e := engine.New(engine.Config{Name: name, Slots: 4, Speed: 500, Models: map[string]string{"redattore": "1"}})
	b.engines = append(b.engines, fmt.Sprintf("[Engine %s]\nAddress = %s\nDomain = catania\nRegion = sicilia\nSlots = 4\nSpeed = 500\nModels = redattore\n", name, b.serve(&e.Faults, e.Handler())))
	return b
}

// router starts a router on three consecutive ports and returns it with its caller
// address.
func (b *builder) router(name string, port int) (*node.Node, string) {
	address := func(i int) string { return fmt.Sprintf("127.0.0.1:%d", port+i) }
	text := fmt.Sprintf("[Host]\nName = %s\nEnvironment = production\nDomain = catania\nRegion = sicilia\nCallerAddress = %s\nPeerAddress = %s\nAdminAddress = %s\n"+
		"[Platform]\nAddress = %s\n[Credentials]\nPeer = p\nAdmin = a\nOrders = o\n[Bounds]\nLameDuck = 0s\n", name, address(0), address(1), address(2), b.address)
	cfg, err := settings.Parse("host.ini", []byte(text))
	b.g.Expect(err).NotTo(HaveOccurred())
	log := logrus.New()
	log.SetOutput(io.Discard)
	n := node.New(cfg, log)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- n.Run(ctx) }()
	b.stops = append(b.stops, func() {
		cancel()
		b.g.Expect(<-done).To(Succeed())
	})
	b.platform.PutHost(hosts.Host{
		Name: name, Kind: hosts.Router, State: hosts.Live, Environment: "production", Domain: "catania", Region: "sicilia",
		CallerAddress: address(0), PeerAddress: address(1), AdminAddress: address(2),
	})
	return n, address(0)
}

// publishConfiguration publishes a document with the engines started so far.
func (b *builder) publishConfiguration() {
	text := "[Model redattore]\nVersion = 1\n[Organisation scordia]\nKeys = " + document.HashKey("key") + "\nTokensPerSecond = 100000\n"
	for _, e := range b.engines {
		text += e
	}
	d, err := document.Parse("environment.ini", []byte(text))
	b.g.Expect(err).NotTo(HaveOccurred())
	base, revision, err := publish.ReadManifest(context.Background(), b.store, "production")
	b.g.Expect(err).NotTo(HaveOccurred())
	_, err = publish.CommitDocument(context.Background(), b.store, base, revision, d, "test")
	b.g.Expect(err).NotTo(HaveOccurred())
}

// TestDumpMatchesGoldenFile guards the form of the dump that operators read: a
// field that is renamed, added or lost changes the golden file.
func TestDumpMatchesGoldenFile(t *testing.T) {
	b := newBuilder(t).engine("redattore-1").engine("redattore-2")
	n, address := b.router("catania-1", 32100)
	b.publishConfiguration()
	b.g.Eventually(n.View, 10*time.Second).ShouldNot(BeNil())
	b.g.Eventually(func() bool { return n.Dump().Plan != nil }, 10*time.Second).Should(BeTrue())
	reply, err := caller.New().StreamTokens(context.Background(), []string{address}, caller.Request{Key: "key", IdempotencyKey: "k", Model: "redattore", MaxTokens: 20, Prompt: "x"}, nil)
	b.g.Expect(err).NotTo(HaveOccurred())
	b.g.Expect(reply.Check(20)).To(Succeed())

	b.g.Eventually(func() int {
		servers := n.Dump().Keeper.Servers
		return servers[0].InFlight + servers[1].InFlight
	}, 5*time.Second).Should(BeZero())

	d := n.Dump()
	b.g.Expect(d.Status.Digest).To(HaveLen(64))
	b.g.Expect(d.Keeper.Attempts).To(HaveLen(1))
	d.Status.Digest, d.Status.StartedAt = "DIGEST", time.Time{}
	d.Plan.NextLoadAt, d.Store = time.Time{}, node.StoreDump{}
	attempt := &d.Keeper.Attempts[0]
	attempt.Generation, attempt.Attempt, attempt.Server = "GENERATION", "ATTEMPT", "SERVER"
	for i := range d.Keeper.Servers {
		d.Keeper.Servers[i].Slowdown, d.Keeper.Servers[i].Foreign = 1, 0
	}
	got, err := json.MarshalIndent(d, "", "  ")
	b.g.Expect(err).NotTo(HaveOccurred())
	path := filepath.Join("testdata", "dump.golden")
	if *update {
		b.g.Expect(os.WriteFile(path, append(got, '\n'), 0o644)).To(Succeed())
	}
	want, err := os.ReadFile(path)
	b.g.Expect(err).NotTo(HaveOccurred())
	b.g.Expect(string(got) + "\n").To(Equal(string(want)))
}
