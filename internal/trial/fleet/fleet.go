package fleet

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"

	"wisteriafield/internal/platform/hosts"
	"wisteriafield/internal/standin/engine"
	"wisteriafield/internal/standin/link"
)

// Credentials and API keys of a fleet on loopback. They protect nothing.
const (
	platformCredential = "platform-loopback"
	peerCredential     = "peer-loopback"
	adminCredential    = "admin-loopback"
	ordersCredential   = "orders-loopback"

	// KeyScordia is the API key of organisation scordia.
	KeyScordia = "key-scordia"
	// KeyQalamdaan is the API key of organisation qalamdaan.
	KeyQalamdaan = "key-qalamdaan"
)

// BatchOverhead is the relative slowdown of an engine with a full batch: a token takes
// 1+BatchOverhead times as long.
const BatchOverhead = 0.5

var errTimedOut = errors.New("no connection accepted before the timeout")

// Engine describes an engine of the fleet.
type Engine struct {
	Name    string
	Domain  string
	Slots   int
	Speed   float64
	Fencing bool
	Address string
}

// Router is a router of the fleet.
type Router struct {
	*Process
	Host         hosts.Host // as registered with the platform
	PeerLink     *link.Link // between the other routers and this one
	StoreLink    *link.Link // between this router and the platform
	LogPath      string     // path of the log file
	settingsPath string
}

// Fleet is a set of routers and stand-ins.
type Fleet struct {
	Bin                string // directory of the programs
	Dir                string // directory for settings and logs
	PlatformAddress    string
	Routers            []*Router // the production routers
	Trial              *Router   // the router of the trial environment
	Engines            []Engine
	Services           map[string]string // addresses by server name
	WeightStoreAddress string
	ExtraBounds        string // additional lines of the Bounds section of the routers' settings
	ExtraPolicy        string // additional lines of the Policy section of the environment document
	ExtraSections      string // additional sections of the environment document

	processes map[string]*Process
	links     []*link.Link
}

// domains are the failure domains of a fleet.
var domains = []string{"catania", "palermo", "messina"}

// New returns a fleet of four engines of differing speeds and two services.
func New(bin, dir string) *Fleet {
	return &Fleet{
		Bin: bin, Dir: dir, processes: make(map[string]*Process), Services: make(map[string]string),
		Engines: []Engine{
			{Name: "redattore-ct-1", Domain: "catania", Slots: 8, Speed: 120, Fencing: true},
			{Name: "redattore-ct-2", Domain: "catania", Slots: 8, Speed: 60},
			{Name: "redattore-pa-1", Domain: "palermo", Slots: 8, Speed: 90, Fencing: true},
			{Name: "redattore-me-1", Domain: "messina", Slots: 8, Speed: 40},
		},
	}
}

// Start starts the stand-ins, the given number of production routers and one trial router.
func (f *Fleet) Start(routers int) error {
	if err := os.MkdirAll(f.Dir, 0o755); err != nil {
		return fmt.Errorf("create directory: %w", err)
	}
	if err := f.startStandins(); err != nil {
		return err
	}
	for i := range routers {
		name := fmt.Sprintf("%s-entry-%d", domains[i%len(domains)], i+1)
		r, err := f.newRouter(name, domains[i%len(domains)], "production")
		if err != nil {
			return err
		}
		f.Routers = append(f.Routers, r)
	}
	trial, err := f.newRouter("trial-entry-1", domains[0], "trial")
	if err != nil {
		return err
	}
	f.Trial = trial
	for _, r := range append([]*Router{trial}, f.Routers...) {
		if err := f.StartRouter(r); err != nil {
			return err
		}
	}
	return f.writeOperatorSettings()
}

// Stop kills every process of the fleet and closes the links.
func (f *Fleet) Stop() {
	for _, p := range f.processes {
		p.Continue()
		p.Kill()
	}
	for _, p := range f.processes {
		<-p.done
	}
	for _, l := range f.links {
		l.Close()
	}
}

// Process returns the process with the name of a router, engine, service or other stand-in.
func (f *Fleet) Process(name string) *Process { return f.processes[name] }

func (f *Fleet) startStandins() error {
	f.PlatformAddress = FreeAddress()
	if err := f.startStandin("platform", f.PlatformAddress, "platform", "--credential", platformCredential, "--host-lag", "1s"); err != nil {
		return err
	}
	f.WeightStoreAddress = FreeAddress()
	if err := f.startStandin("weights", f.WeightStoreAddress, "weights", "--loads-per-second", "2", "--load-time", "200ms"); err != nil {
		return err
	}
	for i := range f.Engines {
		f.Engines[i].Address = FreeAddress()
		if err := f.StartEngine(f.Engines[i]); err != nil {
			return err
		}
	}
	for _, name := range []string{"banco-1", "grant-ledger-1"} {
		f.Services[name] = FreeAddress()
		if err := f.StartService(name); err != nil {
			return err
		}
	}
	return nil
}

// StartService starts or restarts a service.
func (f *Fleet) StartService(name string) error {
	return f.startStandin(name, f.Services[name], "service", "--name", name)
}

// EngineState is the state that an engine reports.
type EngineState struct {
	Models map[string]string
	Stats  engine.Stats
}

// StartEngine starts or restarts an engine.
func (f *Fleet) StartEngine(e Engine) error {
	args := []string{
		"engine", "--name", e.Name, "--slots", strconv.Itoa(e.Slots), "--speed", strconv.FormatFloat(e.Speed, 'f', -1, 64),
		"--crowding", strconv.FormatFloat(BatchOverhead, 'f', -1, 64), "--credential", ordersCredential, "--weights", f.WeightStoreAddress, "--model", "redattore=1", "--model", "costing-llm=1",
	}
	if e.Fencing {
		args = append(args, "--fencing")
	}
	return f.startStandin(e.Name, e.Address, args...)
}

// startStandin starts a stand-in with the command line and returns when it accepts
// connections.
func (f *Fleet) startStandin(name, address string, command ...string) error {
	command = append(command[:1:1], append([]string{"--listen", address}, command[1:]...)...)
	p, err := StartProcess(name, filepath.Join(f.Dir, name+".log"), filepath.Join(f.Bin, "standin"), command...)
	if err != nil {
		return err
	}
	f.processes[name] = p
	return waitFor(5*time.Second, func() bool { return acceptsConnections(address) })
}

// RegisterHost adds a host to the host list of the platform or updates it.
func (f *Fleet) RegisterHost(h hosts.Host) error {
	body, err := json.Marshal(h)
	if err != nil {
		return fmt.Errorf("encode host: %w", err)
	}
	req, err := http.NewRequest(http.MethodPut, "http://"+f.PlatformAddress+"/v1/hosts/"+h.Name, bytes.NewReader(body))
	if err != nil {
		return fmt.Errorf("build request: %w", err)
	}
	req.Header.Set("Authorization", "Bearer "+platformCredential)
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return fmt.Errorf("register host: %w", err)
	}
	return res.Body.Close()
}

// PostPlatform sends a request without a body to the platform's stand-in.
func (f *Fleet) PostPlatform(path string) error {
	req, err := http.NewRequest(http.MethodPost, "http://"+f.PlatformAddress+path, nil)
	if err != nil {
		return fmt.Errorf("build request: %w", err)
	}
	req.Header.Set("Authorization", "Bearer "+platformCredential)
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return fmt.Errorf("post to platform: %w", err)
	}
	return res.Body.Close()
}

// InjectFault sends a fault order to a stand-in.
func (f *Fleet) InjectFault(address, order string) error {
	res, err := http.Post("http://"+address+"/faults", "application/json", strings.NewReader(order))
	if err != nil {
		return fmt.Errorf("send fault order: %w", err)
	}
	return res.Body.Close()
}

// CallerAddresses returns the addresses at which the production routers accept callers.
func (f *Fleet) CallerAddresses() []string {
	var addresses []string
	for _, r := range f.Routers {
		addresses = append(addresses, r.Host.CallerAddress)
	}
	return addresses
}

func (f *Fleet) writeOperatorSettings() error {
	text := fmt.Sprintf("[Platform]\nAddress = %s\nCredential = %s\n\n[Credentials]\nAdmin = %s\n", f.PlatformAddress, platformCredential, adminCredential)
	return os.WriteFile(f.OperatorSettings(), []byte(text), 0o600)
}

// OperatorSettings returns the path of the settings file for operator commands.
func (f *Fleet) OperatorSettings() string { return filepath.Join(f.Dir, "operator.ini") }

// acceptsConnections reports whether a TCP connection to the address succeeds.
func acceptsConnections(address string) bool {
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return false
	}
	_ = conn.Close()
	return true
}

// waitFor returns when the condition is true, or an error after the timeout.
func waitFor(timeout time.Duration, condition func() bool) error {
	deadline := time.Now().Add(timeout)
	for !condition() {
		if time.Now().After(deadline) {
			return errTimedOut
		}
		time.Sleep(10 * time.Millisecond)
	}
	return nil
}
