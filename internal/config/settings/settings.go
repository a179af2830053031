// Package settings reads the settings of one host: its addresses, its failure
// domain, the platform's address and the credentials.
package settings

import (
	"fmt"
	"net"
	"os"
	"time"

	"wisteriafield/internal/config/inifile"
)

// Host identifies the host and has the addresses that its router listens on.
type Host struct {
	Name          string `ini:"required"`
	Environment   string `ini:"required"`
	Domain        string `ini:"required"` // failure domain
	Region        string `ini:"required"`
	CallerAddress string `ini:"required"`
	PeerAddress   string `ini:"required"`
	AdminAddress  string `ini:"required"`
}

// Platform says how to reach the platform's store and host list.
type Platform struct {
	Address    string `ini:"required"`
	Credential string
	Timeout    time.Duration
}

// Credentials holds one secret for each kind of connection.
type Credentials struct {
	Peer   string `ini:"required"` // between routers
	Admin  string `ini:"required"` // for operators
	Orders string `ini:"required"` // for orders to engines
}

// Log sets the level and the format of the log.
type Log struct {
	Level  string
	Format string
}

// Bounds limits the resources that one caller may use and the time that a stop takes.
type Bounds struct {
	MaxBody       int           // bytes of a request body
	BodyMemory    int           // bytes of all request bodies that are held at the same time
	MaxHeader     int           // bytes of all headers
	HeaderMemory  int           // bytes that the headers of all requests take at the same time
	Connections   int           // of callers that are open at the same time
	ReceiveMemory int           // bytes that callers have sent and the router has not read
	HostMemory    int           // bytes of memory that this process may have; 0 for no bound
	HeaderTimeout time.Duration // maximum time to receive all headers
	BodyTimeout   time.Duration // maximum time to receive the body
	DrainTimeout  time.Duration // maximum time that a stop waits for streams
	LameDuck      time.Duration // how long a stop still accepts connections, until load balancers have noticed it
}

const (
	// headerMemoryFactor is above the memory that a byte of a header takes.
	headerMemoryFactor = 128
	minConnections     = 16
	minHostMemory      = 64 << 20
	minReceiveBytes    = 8 << 10 // of one connection
)

// Settings is the complete content of the file.
type Settings struct {
	Host        Host
	Platform    Platform
	Credentials Credentials
	Log         Log
	Bounds      Bounds
}

// Default returns the values of the settings that a file leaves out.
func Default() Settings {
	return Settings{
		Platform: Platform{Timeout: time.Second},
		Log:      Log{Level: "info", Format: "text"},
		Bounds: Bounds{
			MaxBody:       1 << 20,
			BodyMemory:    64 << 20,
			MaxHeader:     16 << 10,
			HeaderMemory:  16 << 20,
			Connections:   2048,
			ReceiveMemory: 128 << 20,
			HeaderTimeout: 5 * time.Second,
			BodyTimeout:   10 * time.Second,
			DrainTimeout:  15 * time.Minute,
			LameDuck:      2 * time.Second,
		},
	}
}

// Load reads, parses and validates a file.
func Load(path string) (Settings, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, fmt.Errorf("read settings: %w", err)
	}
	return Parse(path, text)
}

// Parse parses and validates INI text.
func Parse(name string, text []byte) (Settings, error) {
	f, err := inifile.Parse(name, text)
	if err != nil {
		return Settings{}, err
	}
	cfg := Default()
	f.CheckSections("Host", "Platform", "Credentials", "Log", "Bounds")
	for _, section := range []string{"Host", "Platform", "Credentials"} {
		if !f.HasSection(section) {
			f.AddError(section, "", "section is missing")
		}
	}
	f.DecodeSection("Host", &cfg.Host)
	f.DecodeSection("Platform", &cfg.Platform)
	f.DecodeSection("Credentials", &cfg.Credentials)
	f.DecodeSection("Log", &cfg.Log)
	f.DecodeSection("Bounds", &cfg.Bounds)
	cfg.validate(f)
	return cfg, f.Err()
}

// LoadOperator reads the settings that the operators' commands need: the platform and
// the admin credential. Other sections are ignored.
func LoadOperator(path string) (Settings, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, fmt.Errorf("read settings: %w", err)
	}
	f, err := inifile.Parse(path, text)
	if err != nil {
		return Settings{}, err
	}
	cfg := Default()
	f.DecodeSection("Platform", &cfg.Platform)
	f.DecodeSection("Credentials", &cfg.Credentials)
	f.DropErrors("Credentials", "Peer", "Orders")
	validateAddress(f, "Platform", "Address", cfg.Platform.Address)
	return cfg, f.Err()
}

func (cfg *Settings) validate(f *inifile.File) {
	validateAddress(f, "Host", "CallerAddress", cfg.Host.CallerAddress)
	validateAddress(f, "Host", "PeerAddress", cfg.Host.PeerAddress)
	validateAddress(f, "Host", "AdminAddress", cfg.Host.AdminAddress)
	validateAddress(f, "Platform", "Address", cfg.Platform.Address)
	validateOneOf(f, "Log", "Level", cfg.Log.Level, "debug", "info", "warning", "error")
	validateOneOf(f, "Log", "Format", cfg.Log.Format, "text", "json")
	c := cfg.Credentials
	if c.Peer != "" && (c.Peer == c.Admin || c.Peer == c.Orders || c.Admin == c.Orders) {
		f.AddError("Credentials", "", "Peer, Admin and Orders must differ")
	}
	if cfg.Bounds.MaxBody < 1<<10 {
		f.AddError("Bounds", "MaxBody", "%d is too small; expected at least 1024 bytes", cfg.Bounds.MaxBody)
	}
	if cfg.Bounds.BodyMemory < cfg.Bounds.MaxBody {
		f.AddError("Bounds", "BodyMemory", "%d is too small; expected at least MaxBody", cfg.Bounds.BodyMemory)
	}
	if least := headerMemoryFactor * cfg.Bounds.MaxHeader; cfg.Bounds.HeaderMemory < least {
		f.AddError("Bounds", "HeaderMemory", "%d is too small; expected at least %d times MaxHeader", cfg.Bounds.HeaderMemory, headerMemoryFactor)
	}
	if m := cfg.Bounds.HostMemory; m != 0 && m < minHostMemory {
		f.AddError("Bounds", "HostMemory", "%d is too small; expected at least %d, or 0 for no bound", m, minHostMemory)
	}
	if cfg.Bounds.Connections < minConnections {
		f.AddError("Bounds", "Connections", "%d is too small; expected at least %d", cfg.Bounds.Connections, minConnections)
	}
	if least := minReceiveBytes * cfg.Bounds.Connections; cfg.Bounds.ReceiveMemory < least {
		f.AddError("Bounds", "ReceiveMemory", "%d is too small; expected at least %d for each of Connections", cfg.Bounds.ReceiveMemory, minReceiveBytes)
	}
}

func validateAddress(f *inifile.File, section, key, value string) {
	if value == "" {
		return
	}
	host, _, err := net.SplitHostPort(value)
	if err != nil || net.ParseIP(host) == nil {
		f.AddError(section, key, "%q is wrong; expected IP:PORT", value)
	}
}

func validateOneOf(f *inifile.File, section, key, value string, allowed ...string) {
	for _, a := range allowed {
		if value == a {
			return
		}
	}
	f.AddError(section, key, "%q is wrong; expected one of %v", value, allowed)
}
