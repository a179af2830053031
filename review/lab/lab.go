// Package lab starts a small deployment for the cases of the review: the store's stand-in,
// backend servers and routers, each a process of its own on loopback addresses.
package lab

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"wisteriafield/platform/kv"
)

// Programs, relative to the root of the repository.
const (
	routerProgram  = "target/wisteriafield"
	storeProgram   = "review/bin/store"
	backendProgram = "review/bin/server"
)

// Ports of a router. Each has a loopback address of its own.
const (
	frontPort = 8740 + iota
	readyPort
	controlPort
	firstFreePort
	metricsPort = 9464
)

const (
	startTimeout = 20 * time.Second
	maxRunTime   = 110 * time.Second
	// Key is the API key of the only tenant.
	Key = "xd9dnn2ctnfzs989anu6"
	// Host is the host name of all routes.
	Host = "ficu95.example"
)

// Exit codes of a script.
const (
	exitHeld   = 0
	exitBroken = 1
	exitFailed = 2
)

// Lab is a running deployment.
type Lab struct {
	Trouble bool // the disruption is to happen
	Store   *kv.Client

	dir          string
	storeAddress string
	ipPrefix     string
	routers      []*Router

	mu        sync.Mutex
	record    *os.File
	processes []*Process
	broken    int
	revision  int64 // of the configuration in the store
}

// Main runs a case and exits with its result. The first argument is the folder of the case.
func Main(run func(l *Lab) error) {
	if len(os.Args) != 2 {
		fmt.Fprintln(os.Stderr, "usage: caseN FOLDER")
		os.Exit(exitFailed)
	}
	os.Exit(runCase(os.Args[1], run))
}

func runCase(folder string, run func(l *Lab) error) int {
	record, err := os.Create(filepath.Join(folder, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	defer record.Close()
	l := &Lab{Trouble: os.Getenv("TROUBLE") != "0", record: record}
	defer l.stop()
	done := make(chan error, 1)
	go func() {
		err := l.startStore()
		if err == nil {
			err = run(l)
		}
		done <- err
	}()
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, syscall.SIGINT)
	select {
	case err = <-done:
	case <-stop:
		err = errors.New("interrupted")
	case <-time.After(maxRunTime):
		err = errors.New("the case took too long")
	}
	l.mu.Lock()
	broken := l.broken
	l.mu.Unlock()
	switch {
	case err != nil:
		l.Log("could not run: %v", err)
		fmt.Println("could not run:", err)
		return exitFailed
	case broken > 0:
		l.Log("result: rule broken %d times", broken)
		fmt.Println("rule broken, times:", broken)
		return exitBroken
	default:
		l.Log("result: rule held")
		fmt.Println("rule held")
		return exitHeld
	}
}

// Log writes a line to the record.
func (l *Lab) Log(format string, args ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	_, _ = fmt.Fprintf(l.record, "%s %s\n", time.Now().Format("15:04:05.000"), fmt.Sprintf(format, args...))
}

// Broken records that the rule was broken.
func (l *Lab) Broken(format string, args ...any) {
	l.Log("BROKEN "+format, args...)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.broken++
}

// Process is a process that the lab started.
type Process struct {
	cmd  *exec.Cmd
	done chan struct{}
}

// Signal sends a signal to the process.
func (p *Process) Signal(s syscall.Signal) { _ = p.cmd.Process.Signal(s) }

// Kill kills the process and waits for its end.
func (p *Process) Kill() {
	_ = p.cmd.Process.Kill()
	<-p.done
}

// Running reports whether the process has not ended.
func (p *Process) Running() bool {
	select {
	case <-p.done:
		return false
	default:
		return true
	}
}

func (l *Lab) start(logName string, env []string, program string, args ...string) (*Process, error) {
	log, err := os.OpenFile(filepath.Join(l.dir, logName), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, fmt.Errorf("open log: %w", err)
	}
	defer log.Close()
	cmd := exec.Command(program, args...)
	cmd.Stdout, cmd.Stderr, cmd.Env = log, log, env
	if err := cmd.Start(); err != nil {
		return nil, fmt.Errorf("start %s: %w", program, err)
	}
	p := &Process{cmd: cmd, done: make(chan struct{})}
	go func() {
		_ = cmd.Wait()
		close(p.done)
	}()
	l.mu.Lock()
	l.processes = append(l.processes, p)
	l.mu.Unlock()
	return p, nil
}

func (l *Lab) stop() {
	l.mu.Lock()
	processes := l.processes
	l.mu.Unlock()
	for _, p := range processes {
		if p.Running() {
			p.Signal(syscall.SIGCONT)
			p.Kill()
		}
	}
	if l.dir != "" && os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(l.dir)
	}
}

// FreeAddress returns a free address of the loopback interface.
func FreeAddress() (string, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", fmt.Errorf("find a free port: %w", err)
	}
	defer ln.Close()
	return ln.Addr().String(), nil
}

func waitUntil(what string, ok func() bool) error {
	for deadline := time.Now().Add(startTimeout); time.Now().Before(deadline); time.Sleep(20 * time.Millisecond) {
		if ok() {
			return nil
		}
	}
	return fmt.Errorf("%s is not ready after %s", what, startTimeout)
}

func (l *Lab) startStore() error {
	var err error
	if l.dir, err = os.MkdirTemp("", "review-"); err != nil {
		return fmt.Errorf("make a temporary folder: %w", err)
	}
	if l.storeAddress, err = FreeAddress(); err != nil {
		return err
	}
	if _, err = l.start("store.log", nil, storeProgram, "-listen", l.storeAddress); err != nil {
		return err
	}
	l.Store = kv.New(kv.Config{Address: l.storeAddress, Timeout: time.Second})
	l.Log("store started")
	return waitUntil("store", func() bool {
		_, err := l.Store.List(context.Background(), "op/")
		return err == nil
	})
}

// StoreAddress returns the address of the store.
func (l *Lab) StoreAddress() string { return l.storeAddress }

// WriteConfig writes a configuration as the operator does.
func (l *Lab) WriteConfig(config any) error {
	value, err := json.Marshal(config)
	if err != nil {
		return fmt.Errorf("encode configuration: %w", err)
	}
	l.revision, err = l.Store.Put(context.Background(), "op/config", value, l.revision, "")
	if err != nil {
		return fmt.Errorf("write configuration: %w", err)
	}
	l.Log("operator: configuration of %d bytes acknowledged", len(value))
	return nil
}

// Route returns a route of a configuration.
func Route(prefix, kind, service string, timeoutMs, goalMs, attempts int) map[string]any {
	r := map[string]any{
		"name": "r-" + strings.Trim(prefix, "/"), "host": Host, "prefix": prefix, "type": kind, "service": service,
		"timeoutMs": timeoutMs, "goalMs": goalMs, "priority": 1, "attempts": attempts, "public": false,
	}
	if kind == "streaming" {
		r["sticky"], r["resumable"], r["gapGoalMs"] = true, true, 700
	}
	return r
}

// Config returns a configuration with routes to the engines redattore and the service banco.
func Config(version int, routes ...map[string]any) map[string]any {
	return map[string]any{
		"version": version,
		"routes":  routes,
		"services": []map[string]any{
			{"name": "redattore", "healthPath": "/healthz", "maxConns": 360, "protocol": "h1", "tls": false, "engine": map[string]any{
				"slots": 64, "kvCapacity": 55000, "kvTokenBytes": 163840, "linkMbps": 280000.0, "moves": true, "backups": true,
				"stride": 6, "most": 12, "pinMs": 4000.0, "holdMs": 2000.0, "handleS": 4.0, "models": []map[string]any{{"name": "m"}},
			}},
			{"name": "banco", "healthPath": "/healthz", "maxConns": 96, "protocol": "h1", "tls": false},
		},
		"limits":  map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"tenants": []map[string]any{{"name": "huka270", "apiKeys": []string{Key}, "priority": 1}},
	}
}

// Router is a router process.
type Router struct {
	*Process
	Name string

	lab      *Lab
	ip       string
	settings string
	env      []string
}

// Front returns the address for clients.
func (r *Router) Front() string { return fmt.Sprintf("%s:%d", r.ip, frontPort) }

// Ready reports whether the router says that it is ready.
func (r *Router) Ready() bool {
	client := http.Client{Timeout: time.Second}
	res, err := client.Get(fmt.Sprintf("http://%s:%d/-/readyz", r.ip, readyPort))
	if err != nil {
		return false
	}
	defer res.Body.Close()
	return res.StatusCode == http.StatusOK
}

// Zones are the zones of the deployment.
var Zones = []string{"catania", "palermo", "messina", "siracusa"}

// StartRouters starts routers with the settings of a small deployment and waits until they are
// ready. The store may be seen through a proxy at another address.
func (l *Lab) StartRouters(n int, storeOf func(i int) string) ([]*Router, error) {
	if err := l.pickAddresses(n); err != nil {
		return nil, err
	}
	var seeds []string
	for i := range min(n, 3) {
		seeds = append(seeds, fmt.Sprintf("%q", fmt.Sprintf("%s.%d:%d", l.ipPrefix, i+1, controlPort)))
	}
	for i := range n {
		r := &Router{Name: fmt.Sprintf("edge-%s-%d", Zones[i%len(Zones)], i+1), lab: l, ip: fmt.Sprintf("%s.%d", l.ipPrefix, i+1)}
		store := l.storeAddress
		if storeOf != nil {
			store = storeOf(i)
		}
		r.settings = filepath.Join(l.dir, r.Name+".toml")
		text := fmt.Sprintf(settingsFormat, r.Name, r.ip, Zones[i%len(Zones)], firstFreePort, firstFreePort+15, strings.Join(seeds, ","),
			r.Front(), fmt.Sprintf("%s:%d", r.ip, readyPort), fmt.Sprintf("%s:%d", r.ip, controlPort), store)
		if err := os.WriteFile(r.settings, []byte(text), 0o600); err != nil {
			return nil, fmt.Errorf("write settings: %w", err)
		}
		r.env = []string{"WISTERIAFIELD_CONFIG=" + r.settings, "PATH=" + os.Getenv("PATH"), "HOME=" + l.dir}
		if err := r.Start(); err != nil {
			return nil, err
		}
		l.routers = append(l.routers, r)
	}
	for _, r := range l.routers {
		if err := waitUntil(r.Name, r.Ready); err != nil {
			return nil, err
		}
	}
	// Routers learn of each other within the contact time.
	time.Sleep(3 * time.Second)
	return l.routers, nil
}

// Start starts the router's process.
func (r *Router) Start() (err error) {
	r.Process, err = r.lab.start(r.Name+".log", r.env, routerProgram, "edge")
	r.lab.Log("%s started", r.Name)
	return err
}

// pickAddresses picks loopback addresses on which the routers' ports are free.
func (l *Lab) pickAddresses(n int) error {
	for range 50 {
		prefix := fmt.Sprintf("127.%d.%d", 2+rand.IntN(200), 1+rand.IntN(250))
		free := true
		for i := range n {
			for _, port := range []int{frontPort, readyPort, controlPort, firstFreePort, metricsPort} {
				ln, err := net.Listen("tcp", fmt.Sprintf("%s.%d:%d", prefix, i+1, port))
				if err != nil {
					free = false
					continue
				}
				_ = ln.Close()
			}
		}
		if free {
			l.ipPrefix = prefix
			return nil
		}
	}
	return errors.New("no loopback addresses with free ports")
}

const settingsFormat = `nodeName = %q
role = "router"
machineClass = "edge"
serves = ["edge","control"]
ip = %q
zone = %q
region = "sicilia"
portRange = [%d,%d]
seeds = [%s]
bootstrap = true
countsAsLoss = false
discovery = "platform"
entry = "vip"
heartbeatMs = 1200
contracts = ["base","drain","config","cost","retry","recover","engine","stream","tenants","platform"]
[zones]
catania = "sicilia"
palermo = "sicilia"
messina = "sicilia"
siracusa = "sicilia"
[listen]
front = %q
ready = %q
controlAddr = %q
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
address = %q
form = "kv"
writesPerS = 400
readsPerS = 2000
historyS = 20
valueBytes = 1048576
ttlMinMs = 1000
`

// Backend is the process of a backend server.
type Backend struct {
	*Process
	Name string

	lab  *Lab
	args []string
}

// StartBackend starts a backend server and waits until it is in the store's list.
func (l *Lab) StartBackend(name, service, zone string, args ...string) (*Backend, error) {
	address, err := FreeAddress()
	if err != nil {
		return nil, err
	}
	b := &Backend{Name: name, lab: l, args: append([]string{"-name", name, "-service", service, "-zone", zone, "-listen", address, "-store", l.storeAddress, "-log", l.Path("runs.txt")}, args...)}
	return b, b.Start()
}

// KeepRunning starts the server again a while after each of its ends, until ctx ends.
func (b *Backend) KeepRunning(ctx context.Context, downTime time.Duration) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-b.done:
		}
		time.Sleep(downTime)
		if ctx.Err() != nil {
			return
		}
		if err := b.Start(); err != nil {
			b.lab.Log("server %s could not be started: %v", b.Name, err)
			return
		}
	}
}

// Path returns the path of a file in the temporary folder.
func (l *Lab) Path(name string) string { return filepath.Join(l.dir, name) }

// Start starts the server's process.
func (b *Backend) Start() (err error) {
	started := time.Now().UnixMilli()
	b.Process, err = b.lab.start(b.Name+".log", nil, backendProgram, b.args...)
	if err != nil {
		return err
	}
	b.lab.Log("server %s started", b.Name)
	return waitUntil(b.Name, func() bool {
		values, err := b.lab.Store.List(context.Background(), "servers/"+b.Name+"-")
		if err != nil {
			return false
		}
		for _, v := range values {
			var entry struct{ Born int64 }
			if json.Unmarshal(v.Body, &entry) == nil && entry.Born >= started {
				return true
			}
		}
		return false
	})
}

// RunLines returns what the servers have written of their runs, and adds it to the record.
func (l *Lab) RunLines() ([]string, error) {
	text, err := os.ReadFile(l.Path("runs.txt"))
	if err != nil {
		return nil, fmt.Errorf("read the servers' runs: %w", err)
	}
	lines := strings.Split(string(bytes.TrimSpace(text)), "\n")
	for _, line := range lines {
		l.Log("server: %s", line)
	}
	return lines, nil
}
