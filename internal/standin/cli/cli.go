// Package cli is the command line of the stand-ins.
package cli

import (
	"fmt"
	"net/http"
	"os"
	"os/signal"
	"strings"
	"syscall"
	"time"

	"github.com/jessevdk/go-flags"

	"wisteriafield/internal/standin/engine"
	"wisteriafield/internal/standin/faults"
	"wisteriafield/internal/standin/service"
	"wisteriafield/internal/standin/weights"
	"wisteriafield/platform/standin/platform"
)

// Run runs one stand-in until SIGTERM or SIGINT and returns the exit code.
func Run(args []string) int {
	parser := flags.NewNamedParser("standin", flags.HelpFlag|flags.PassDoubleDash)
	addCommand(parser, "platform", "Key-value service and host list", &platformCommand{})
	addCommand(parser, "engine", "Model engine", &engineCommand{})
	addCommand(parser, "service", "Service that is not an engine", &serviceCommand{})
	addCommand(parser, "backend", "Backend server of the users' platform", &backendCommand{})
	addCommand(parser, "weights", "Weight store", &weightsCommand{})
	if _, err := parser.ParseArgs(args); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	return 0
}

func addCommand(p *flags.Parser, name, description string, command any) {
	if _, err := p.AddCommand(name, description, description, command); err != nil {
		panic(err)
	}
}

type listenOptions struct {
	Listen string `long:"listen" required:"true" description:"IP:PORT"`
}

// serve serves the handler with the faults of the injector until SIGTERM or SIGINT.
func (l listenOptions) serve(injector *faults.Injector, h http.Handler) error {
	s, err := faults.Start(l.Listen, injector, h)
	if err != nil {
		return err
	}
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, syscall.SIGINT)
	<-stop
	s.Kill()
	return nil
}

type platformCommand struct {
	listenOptions
	Credential string        `long:"credential"`
	HostLag    time.Duration `long:"host-lag" default:"2s"`
	WriteRate  float64       `long:"write-rate" default:"400"`
	ReadRate   float64       `long:"read-rate" default:"2000"`
}

// Execute runs the platform stand-in.
func (c *platformCommand) Execute([]string) error {
	s := platform.New(platform.Config{Credential: c.Credential, HostLag: c.HostLag, WriteRate: c.WriteRate, ReadRate: c.ReadRate})
	return c.serve(&s.Gate, s.Handler())
}

type engineCommand struct {
	listenOptions
	Name       string        `long:"name" required:"true"`
	Slots      int           `long:"slots" default:"16"`
	Speed      float64       `long:"speed" default:"37"`
	Crowding   float64       `long:"crowding" default:"0.5"`
	Prefill    time.Duration `long:"prefill" default:"100ms"`
	CacheSize  int           `long:"cache" default:"64"`
	ReportLag  time.Duration `long:"report-lag" default:"1s"`
	Fencing    bool          `long:"fencing"`
	Credential string        `long:"credential"`
	Weights    string        `long:"weights"`
	Models     []string      `long:"model" description:"NAME=VERSION"`
}

// Execute runs an engine stand-in.
func (c *engineCommand) Execute([]string) error {
	models := make(map[string]string)
	for _, m := range c.Models {
		name, version, _ := strings.Cut(m, "=")
		models[name] = version
	}
	e := engine.New(engine.Config{
		Name: c.Name, Slots: c.Slots, Speed: c.Speed, BatchOverhead: c.Crowding, Prefill: c.Prefill, CacheSize: c.CacheSize,
		ReportLag: c.ReportLag, Fencing: c.Fencing, Credential: c.Credential, WeightStore: c.Weights, Models: models,
	})
	return c.serve(&e.Faults, e.Handler())
}

type serviceCommand struct {
	listenOptions
	Name  string        `long:"name" required:"true"`
	Delay time.Duration `long:"delay" default:"20ms"`
}

// Execute runs a service stand-in.
func (c *serviceCommand) Execute([]string) error {
	s := service.New(service.Config{Name: c.Name, Delay: c.Delay})
	return c.serve(&s.Faults, s.Handler())
}

type weightsCommand struct {
	listenOptions
	LoadsPerSecond float64       `long:"loads-per-second" default:"1"`
	LoadTime       time.Duration `long:"load-time" default:"500ms"`
}

// Execute runs the weight store stand-in.
func (c *weightsCommand) Execute([]string) error {
	s := weights.New(weights.Config{LoadsPerSecond: c.LoadsPerSecond, LoadTime: c.LoadTime})
	return c.serve(&s.Faults, s.Handler())
}
