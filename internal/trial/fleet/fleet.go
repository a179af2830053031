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

// Credentials and keys of a fleet on loopback. They guard nothing.
const (
	platformCredential = "platform-loopback"
	peerCredential     = "peer-loopback"
	adminCredential    = "admin-loopback"
	ordersCredential   = "orders-loopback"

	// KeyScordia is the key of organisation scordia.
	KeyScordia = "key-scordia"
	// KeyQalamdaan is the key of organisation qalamdaan.
	KeyQalamdaan = "key-qalamdaan"
)

// BatchOverhead is how much slower a full batch of an engine is.
const BatchOverhead = 0.5

var errTimeout = errors.New("not in time")

// Engine says what an engine of the fleet is like.
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
	Host      hosts.Host // as the platform lists it
	PeerLink  *link.Link // from other routers
	StoreLink *link.Link // to the platform
	LogPath   string     // path of its log
	settings  string
}

// Fleet is all processes.
type Fleet struct {
	Bin                string // folder of the programs
	Dir                string // folder for settings and logs
	PlatformAddress    string // address
	Routers            []*Router
	Trial              *Router
	Engines            []Engine
	Services           map[string]string // server to address
	WeightStoreAddress string
	ExtraPolicy        string // further lines of the document's policy
	ExtraSections      string // further sections of the document

	processes map[string]*Process
	links     []*link.Link
}

// Domains of a fleet.
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

// Start starts everything with n production routers and one trial router.
func (f *Fleet) Start(n int) error {
	if err := os.MkdirAll(f.Dir, 0o755); err != nil {
		return fmt.Errorf("make folder: %w", err)
	}
	if err := f.startStandins(); err != nil {
		return err
	}
	for i := range n {
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
	return f.writeOperator()
}

// Stop ends every process that the fleet started.
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

// Process returns a process by name.
func (f *Fleet) Process(name string) *Process { return f.processes[name] }

func (f *Fleet) startStandins() error {
	f.PlatformAddress = FreeAddress()
	if err := f.standin("platform", f.PlatformAddress, "platform", "--credential", platformCredential, "--host-lag", "1s"); err != nil {
		return err
	}
	f.WeightStoreAddress = FreeAddress()
	if err := f.standin("weights", f.WeightStoreAddress, "weights", "--loads-per-second", "2", "--load-time", "200ms"); err != nil {
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

// StartService starts a plain service, also again after it died.
func (f *Fleet) StartService(name string) error {
	return f.standin(name, f.Services[name], "service", "--name", name)
}

// EngineState is what an engine says of itself.
type EngineState struct {
	Models map[string]string
	Stats  engine.Stats
}

// StartEngine starts an engine, also again after it died.
func (f *Fleet) StartEngine(e Engine) error {
	args := []string{
		"engine", "--name", e.Name, "--slots", strconv.Itoa(e.Slots), "--speed", strconv.FormatFloat(e.Speed, 'f', -1, 64),
		"--crowding", strconv.FormatFloat(BatchOverhead, 'f', -1, 64), "--credential", ordersCredential, "--weights", f.WeightStoreAddress, "--model", "redattore=1", "--model", "costing-llm=1",
	}
	if e.Fencing {
		args = append(args, "--fencing")
	}
	return f.standin(e.Name, e.Address, args...)
}

func (f *Fleet) standin(name, address string, args ...string) error {
	args = append(args[:1:1], append([]string{"--listen", address}, args[1:]...)...)
	p, err := StartProcess(name, filepath.Join(f.Dir, name+".log"), filepath.Join(f.Bin, "standin"), args...)
	if err != nil {
		return err
	}
	f.processes[name] = p
	return waitFor(5*time.Second, func() bool { return dials(address) })
}

// RegisterHost tells the platform of a host.
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
		return fmt.Errorf("list host: %w", err)
	}
	return res.Body.Close()
}

// InjectFault sends a fault order to a stand-in.
func (f *Fleet) InjectFault(address, order string) error {
	res, err := http.Post("http://"+address+"/faults", "application/json", strings.NewReader(order))
	if err != nil {
		return fmt.Errorf("fault: %w", err)
	}
	return res.Body.Close()
}

// CallerAddresses returns the callers' addresses of the routers.
func (f *Fleet) CallerAddresses() []string {
	var all []string
	for _, r := range f.Routers {
		all = append(all, r.Host.CallerAddress)
	}
	return all
}

func (f *Fleet) writeOperator() error {
	text := fmt.Sprintf("[Platform]\nAddress = %s\nCredential = %s\n\n[Credentials]\nAdmin = %s\n", f.PlatformAddress, platformCredential, adminCredential)
	return os.WriteFile(f.OperatorSettings(), []byte(text), 0o600)
}

// OperatorSettings returns the path of the operators' settings.
func (f *Fleet) OperatorSettings() string { return filepath.Join(f.Dir, "operator.ini") }

func dials(address string) bool {
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return false
	}
	_ = conn.Close()
	return true
}

func waitFor(limit time.Duration, ok func() bool) error {
	deadline := time.Now().Add(limit)
	for !ok() {
		if time.Now().After(deadline) {
			return errTimeout
		}
		time.Sleep(10 * time.Millisecond)
	}
	return nil
}
