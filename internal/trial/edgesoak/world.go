package edgesoak

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"time"

	"wisteriafield/internal/standin/link"
	"wisteriafield/internal/trial/fleet"
	"wisteriafield/platform"
	"wisteriafield/platform/kv"
)

// domains are the failure domains of the fleet.
var domains = []string{"catania", "palermo", "messina"}

const (
	organisationKey = "key-of-banco"
	hostName        = "soak.example"
	grace           = 8 * time.Second // as on the users' sites
	startTime       = 10 * time.Second
	adminPort       = 9464 // as deploy/system.toml says
)

// router is one process of the product, with an address of its own.
type router struct {
	*fleet.Process
	name     string
	ip       string
	domain   string
	settings string
	log      string
	store    *link.Link // to the platform's store
	callers  *link.Link // from the callers
}

func (r *router) at(port int) string { return fmt.Sprintf("%s:%d", r.ip, port) }

// Ports of a router, the same on all hosts.
const (
	frontPort = 8740 + iota
	readyPort
	peerPort
	noticePort
)

// backend is one stand-in for a backend server.
type backend struct {
	*fleet.Process
	name    string
	service string
	domain  string
	listen  string
	log     string
	link    *link.Link // from the routers
}

// world is the fleet: a store, routers and backend servers.
type world struct {
	bin, dir string
	address  string // of the store
	store    *kv.Client
	platform *fleet.Process
	routers  []*router
	backends []*backend
	version  int
}

// newWorld starts the store and the servers. Runs with different seeds may go on
// beside each other.
func newWorld(bin, dir string, opts Options) (*world, error) {
	w := &world{bin: bin, dir: dir, address: fleet.FreeAddress()}
	var err error
	w.platform, err = fleet.StartProcess("store", w.file("store.log"), w.program("standin"), "platform", "--listen", w.address)
	if err != nil {
		return nil, err
	}
	w.store = kv.New(kv.Config{Address: w.address, Timeout: time.Second})
	if err := w.until(func() bool { _, err := w.store.List(context.Background(), "op/"); return err == nil }); err != nil {
		return nil, fmt.Errorf("store: %w", err)
	}
	if err := w.configure(context.Background()); err != nil {
		return nil, err
	}
	for i := range opts.Engines + opts.Services {
		b := &backend{name: fmt.Sprintf("redattore-%d", i), service: "redattore", domain: domains[i%len(domains)], listen: fleet.FreeAddress()}
		if i >= opts.Engines {
			b.name, b.service = fmt.Sprintf("banco-%d", i), "banco"
		}
		b.log = w.file(b.name + ".log")
		if b.link, err = link.New(b.listen); err != nil {
			return nil, err
		}
		if err := w.startBackend(b); err != nil {
			return nil, err
		}
		w.backends = append(w.backends, b)
	}
	for i := range opts.Routers {
		if err := w.addRouter(i, opts.Seed); err != nil {
			return nil, err
		}
	}
	return w, w.until(func() bool {
		for _, r := range w.routers {
			if !w.ready(r) {
				return false
			}
		}
		return true
	})
}

func (w *world) file(name string) string    { return filepath.Join(w.dir, name) }
func (w *world) program(name string) string { return filepath.Join(w.bin, name) }

func (w *world) until(ok func() bool) error {
	for end := time.Now().Add(startTime); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if ok() {
			return nil
		}
	}
	return fmt.Errorf("not up after %s", startTime)
}

func (w *world) startBackend(b *backend) error {
	args := []string{"backend", "--listen", b.listen, "--advertise", b.link.Address, "--name", b.name, "--service", b.service,
		"--domain", b.domain, "--store", w.address}
	if b.service == "redattore" {
		args = append(args, "--engine", "--work", "100ms")
	} else {
		args = append(args, "--slots", "8")
	}
	p, err := fleet.StartProcess(b.name, b.log, w.program("standin"), args...)
	b.Process = p
	return err
}

func (w *world) addRouter(i int, seed uint64) error {
	r := &router{name: fmt.Sprintf("edge-%d", i), ip: fmt.Sprintf("127.%d.%d.%d", 1+seed/200%200, 1+seed%200, i+1), domain: domains[i%len(domains)]}
	r.settings, r.log = w.file(r.name+".toml"), w.file(r.name+".log")
	var err error
	if r.store, err = link.New(w.address); err != nil {
		return err
	}
	if r.callers, err = link.New(r.at(frontPort)); err != nil {
		return err
	}
	var seeds []string
	for n := range 2 {
		seeds = append(seeds, fmt.Sprintf("%q", fmt.Sprintf("127.%d.%d.%d:%d", 1+seed/200%200, 1+seed%200, n+1, peerPort)))
	}
	text := fmt.Sprintf(`nodeName = %q
ip = %q
zone = %q
heartbeatMs = 1200
portRange = [%d,%d]
seeds = [%s]
[listen]
front = %q
ready = %q
controlAddr = %q
[limits]
memoryMb = 284
linkMbps = 1000.0
[bounds]
graceS = %d
retryRatio = 0.8
retryWindowS = 10
retrySlack = 150
[platform]
address = %q
`, r.name, r.ip, r.domain, noticePort, noticePort+8, strings.Join(seeds, ","), r.at(frontPort), r.at(readyPort), r.at(peerPort), int(grace.Seconds()), r.store.Address)
	if err := os.WriteFile(r.settings, []byte(text), 0o600); err != nil {
		return fmt.Errorf("write settings: %w", err)
	}
	w.routers = append(w.routers, r)
	return w.startRouter(r)
}

func (w *world) startRouter(r *router) error {
	p, err := fleet.StartProcess(r.name, r.log, w.program("wisteriafield"), "edge", "--settings", r.settings)
	r.Process = p
	return err
}

// configure writes the next version. Each has one route more than the one before, at
// which callers see whether it is in force.
func (w *world) configure(ctx context.Context) error {
	w.version++
	routes := []map[string]any{
		{"name": "draft", "host": hostName, "prefix": "/draft/", "type": "streaming", "timeoutMs": 20000, "goalMs": 4500, "gapGoalMs": 700, "service": "redattore", "attempts": 5, "resumable": true, "sticky": true},
		{"name": "book", "host": hostName, "prefix": "/book/", "type": "non_idempotent", "timeoutMs": 2000, "goalMs": 100, "service": "banco", "attempts": 2},
		{"name": "look", "host": hostName, "prefix": "/look/", "type": "idempotent", "timeoutMs": 2000, "goalMs": 100, "service": "banco", "attempts": 2},
	}
	for v := 2; v <= w.version; v++ {
		routes = append(routes, map[string]any{"name": fmt.Sprint("v", v), "host": hostName, "prefix": fmt.Sprintf("/v%d/", v), "type": "idempotent", "timeoutMs": 2000, "service": "banco", "attempts": 2})
	}
	value, err := json.Marshal(map[string]any{
		"version": w.version, "routes": routes,
		"services": []map[string]any{{"name": "redattore", "engine": map[string]any{"slots": 16, "kvCapacity": 55000, "backups": true, "stride": 6, "handleS": 4}}, {"name": "banco"}},
		"tenants":  []map[string]any{{"name": "banco", "apiKeys": []string{organisationKey}}},
		"limits":   map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 1 << 20, "idleTimeoutMs": 30000},
	})
	if err != nil {
		return fmt.Errorf("encode configuration: %w", err)
	}
	// The version is written whatever was there: a lost answer must not end the run.
	for ctx.Err() == nil {
		old, err := w.store.Get(ctx, platform.ConfigKey)
		if err == nil && strings.Contains(string(old.Body), fmt.Sprintf(`"version":%d}`, w.version)) {
			return nil
		}
		if _, err = w.store.Put(ctx, platform.ConfigKey, value, old.Revision, ""); err == nil {
			return nil
		}
		time.Sleep(100 * time.Millisecond)
	}
	return ctx.Err()
}

// dump is the part of a router's state that the soak looks at.
type dump struct {
	ConfigVersion int
	Stopping      bool
	Active        int
}

func (w *world) dump(r *router) (dump, error) {
	var d dump
	res, err := quick.Get("http://" + r.at(adminPort) + "/dump")
	if err != nil {
		return d, err
	}
	defer res.Body.Close()
	return d, json.NewDecoder(res.Body).Decode(&d)
}

func (w *world) ready(r *router) bool {
	res, err := quick.Get("http://" + r.at(readyPort) + platform.ReadyPath)
	if err != nil {
		return false
	}
	defer res.Body.Close()
	return res.StatusCode == http.StatusOK
}

// stop ends all processes that were started here, and only those.
func (w *world) stop() {
	for _, r := range w.routers {
		r.Continue()
		r.Kill()
		r.store.Close()
		r.callers.Close()
	}
	for _, b := range w.backends {
		b.Continue()
		b.Kill()
		b.link.Close()
	}
	w.platform.Kill()
}
