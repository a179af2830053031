// Command lab2 plays the cases of the second review: it starts the project's routers as separate
// processes on loopback addresses, with a stand-in store and servers, and checks one rule.
package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"wisteriafield/platform/kv"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitCannot = 2
)

// Ports of a router, the same on all machines, as on the users' platform.
const (
	frontPort    = 8740
	controlPort  = 8748
	readyPort    = 8749
	firstPort    = 7200
	adminPort    = 9464
	storeTimeout = 2 * time.Second
	readyTimeout = 15 * time.Second
)

// fleet is a small deployment on loopback addresses.
type fleet struct {
	dir    string // temporary, for settings and logs
	bin    string // folder of the programs
	record *os.File
	trial  bool // the disruption is played
	store  string
	kv     *kv.Client
	start  time.Time

	mu        sync.Mutex
	processes []*process
	network   string // of the routers, the first three numbers of their addresses
	routers   []*process
}

// process is a process that the case started.
type process struct {
	name    string
	address string // of the router's machine, or of the server
	cmd     *exec.Cmd
	done    chan struct{}
}

// newFleet prepares a case whose folder is dir.
func newFleet(dir string) (*fleet, error) {
	record, err := os.Create(filepath.Join(dir, "record.txt"))
	if err != nil {
		return nil, fmt.Errorf("create record: %w", err)
	}
	temp, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, fmt.Errorf("create folder: %w", err)
	}
	exe, err := os.Executable()
	if err != nil {
		return nil, fmt.Errorf("find programs: %w", err)
	}
	return &fleet{dir: temp, bin: filepath.Dir(exe), record: record, trial: os.Getenv("TROUBLE") != "0", start: time.Now()}, nil
}

// logf writes a line to the record.
func (f *fleet) logf(format string, args ...any) {
	f.mu.Lock()
	defer f.mu.Unlock()
	_, _ = fmt.Fprintf(f.record, "%8.3f s  %s\n", time.Since(f.start).Seconds(), fmt.Sprintf(format, args...))
}

// close ends all processes of the case and removes its temporary folder.
func (f *fleet) close() {
	f.mu.Lock()
	all := f.processes
	f.mu.Unlock()
	for _, p := range all {
		p.kill()
	}
	_ = os.RemoveAll(f.dir)
	_ = f.record.Close()
}

// run starts a program with its output in a log file.
func (f *fleet) run(name string, env []string, program string, args ...string) (*process, error) {
	log, err := os.OpenFile(filepath.Join(f.dir, name+".log"), os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o600)
	if err != nil {
		return nil, fmt.Errorf("open log of %s: %w", name, err)
	}
	defer log.Close()
	cmd := exec.Command(program, args...)
	cmd.Stdout, cmd.Stderr = log, log
	cmd.Env = append([]string{"PATH=" + os.Getenv("PATH"), "HOME=" + f.dir, "LANG=C"}, env...)
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return nil, fmt.Errorf("start %s: %w", name, err)
	}
	p := &process{name: name, cmd: cmd, done: make(chan struct{})}
	go func() {
		_ = cmd.Wait()
		close(p.done)
	}()
	f.mu.Lock()
	f.processes = append(f.processes, p)
	f.mu.Unlock()
	f.logf("%s started, process %d", name, cmd.Process.Pid)
	return p, nil
}

func (p *process) signal(s syscall.Signal) { _ = p.cmd.Process.Signal(s) }

func (p *process) kill() {
	p.signal(syscall.SIGKILL)
	<-p.done
}

// startStore starts the project's stand-in of the platform's store or, if it is not built, this
// program's.
func (f *fleet) startStore() error {
	f.store = freeAddress()
	program, kind := filepath.Join(f.bin, "standin"), "platform"
	if _, err := os.Stat(program); err != nil {
		program, kind = filepath.Join(f.bin, "lab2"), "store"
	}
	f.logf("store: %s %s", filepath.Base(program), kind)
	if _, err := f.run("store", nil, program, kind, "--listen", f.store); err != nil {
		return err
	}
	f.kv = kv.New(kv.Config{Address: f.store, Timeout: storeTimeout})
	return await("store", func() bool {
		_, err := f.kv.List(context.Background(), "op/")
		return err == nil
	})
}

// writeKey writes a key of the operator's or of a server without a lease.
func (f *fleet) writeKey(key string, value []byte) error {
	body, err := json.Marshal(map[string]any{
		"expectRev": []any{}, "remove": []string{}, "writes": []any{map[string]any{"key": key, "value": value}},
	})
	if err != nil {
		return fmt.Errorf("encode %s: %w", key, err)
	}
	res, err := http.Post("http://"+f.store+"/-/kv-txn", "application/json", bytes.NewReader(body))
	if err != nil {
		return fmt.Errorf("write %s: %w", key, err)
	}
	defer res.Body.Close()
	if res.StatusCode != http.StatusOK {
		return fmt.Errorf("write %s: status %d", key, res.StatusCode)
	}
	return nil
}

// writeConfig writes the operator's configuration.
func (f *fleet) writeConfig(c any) error {
	value, err := json.Marshal(c)
	if err != nil {
		return fmt.Errorf("encode configuration: %w", err)
	}
	return f.writeKey("op/config", value)
}

// settings is the settings file of a router, with the figures of a small deployment.
const settings = `nodeName = %q
role = "router"
machineClass = "edge"
serves = ["edge","control"]
ip = %q
zone = %q
region = "punjab"
portRange = [7200,7215]
seeds = [%s]
bootstrap = true
countsAsLoss = false
discovery = "platform"
entry = "vip"
heartbeatMs = 1200
contracts = ["base","drain","config","cost","retry","recover","engine","stream","tenants","platform"]
[zones]
gulberg = "punjab"
johar = "punjab"
madina = "punjab"
[listen]
front = "%[2]s:8740"
ready = "%[2]s:8749"
controlAddr = "%[2]s:8748"
[limits]
cpuQuota = 0.4
cores = 1
memoryMb = 284
maxFds = 4100
linkMbps = 1000.0
diskMb = 0
[faultBudget]
machines = 1
zones = 0
regions = 0
[bounds]
seedLagS = 3
reuseAfterS = 2
contactMs = 3000
ackMs = 4000
catchUpS = 4
drainMs = 2000
graceS = 8
lossSlackMs = 200
configMs = 2000
rollbackSlackMs = 250
outerMs = 5000
strictRevoke = false
revokeMs = 5000
retryRatio = 0.8
retryWindowS = 10
retrySlack = 150
recoverS = 12
passMs = 120
reuseWindowS = 10
[platform]
address = %[5]q
form = "kv"
writesPerS = 400
readsPerS = 2000
historyS = 20
valueBytes = 1048576
ttlMinMs = 1000
`

var zones = []string{"gulberg", "johar", "madina"}

// startRouters starts n routers and waits until all are ready.
func (f *fleet) startRouters(n int) error {
	for {
		f.network = fmt.Sprintf("127.%d.%d", 10+rand.IntN(200), rand.IntN(250))
		ln, err := net.Listen("tcp", fmt.Sprintf("%s.1:%d", f.network, frontPort))
		if err == nil {
			_ = ln.Close()
			break
		}
	}
	var seeds []string
	for i := range min(n, 3) {
		seeds = append(seeds, fmt.Sprintf("%q", fmt.Sprintf("%s.%d:%d", f.network, i+1, controlPort)))
	}
	for i := range n {
		name, ip := fmt.Sprintf("edge-%d", i+1), fmt.Sprintf("%s.%d", f.network, i+1)
		text := fmt.Sprintf(settings, name, ip, zones[i%len(zones)], strings.Join(seeds, ","), f.store)
		if err := os.WriteFile(filepath.Join(f.dir, name+".toml"), []byte(text), 0o600); err != nil {
			return fmt.Errorf("write settings: %w", err)
		}
		if err := f.startRouter(name, ip); err != nil {
			return err
		}
	}
	return f.awaitReady()
}

// startRouter starts a router of the fleet.
func (f *fleet) startRouter(name, ip string) error {
	p, err := f.launchRouter(name, ip)
	if err == nil {
		f.routers = append(f.routers, p)
	}
	return err
}

// launchRouter starts a router with the command of the deploy file.
func (f *fleet) launchRouter(name, ip string) (*process, error) {
	p, err := f.run(name, []string{"WISTERIAFIELD_CONFIG=" + filepath.Join(f.dir, name+".toml")}, filepath.Join(f.bin, "..", "wisteriafield"), "edge")
	if err != nil {
		return nil, err
	}
	p.address = ip
	return p, nil
}

// awaitReady waits until all routers say that they are ready.
func (f *fleet) awaitReady() error {
	for _, r := range f.routers {
		if err := await(r.name, func() bool { return f.ready(r) }); err != nil {
			return err
		}
	}
	return nil
}

func (f *fleet) ready(r *process) bool {
	client := http.Client{Timeout: time.Second}
	res, err := client.Get(fmt.Sprintf("http://%s:%d/-/readyz", r.address, readyPort))
	if err != nil {
		return false
	}
	_ = res.Body.Close()
	return res.StatusCode == http.StatusOK
}

// front is the address of a router for clients.
func (p *process) front() string { return fmt.Sprintf("%s:%d", p.address, frontPort) }

// await polls until a condition holds.
func await(what string, ok func() bool) error {
	for end := time.Now().Add(readyTimeout); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if ok() {
			return nil
		}
	}
	return fmt.Errorf("%s is not ready after %s", what, readyTimeout)
}

// freeAddress returns a loopback address whose port is free.
func freeAddress() string {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "127.0.0.1:0"
	}
	defer ln.Close()
	return ln.Addr().String()
}
