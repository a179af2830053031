package placing_test

import (
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
	"github.com/sirupsen/logrus"

	"wisteriafield/internal/backend/registry"
	"wisteriafield/internal/backend/server"
	"wisteriafield/internal/decision/balance"
	"wisteriafield/internal/decision/enginespeed"
	"wisteriafield/internal/decision/enginetable"
	"wisteriafield/internal/decision/storehistory"
	"wisteriafield/internal/router/gossip"
	"wisteriafield/internal/router/placing"
)

// fleet is twelve routers in front of 48 engines. Datagrams take 2 ms.
type fleet struct {
	*WithT
	t       *testing.T
	routers map[string]*placing.Placing
	servers map[string]*registry.Registry
	checks  map[string]*checks
	dead    map[string]bool
	small   atomic.Bool
	mu      sync.Mutex
	largest int // message
	sent    int
}

type noLimits struct{}

func (noLimits) Allows(*server.Server, time.Time) bool  { return true }
func (noLimits) Limited(*server.Server, time.Time) bool { return false }

// checks records checks of engines. They are called one at a time.
type checks struct {
	mu      sync.Mutex
	checked []string
	told    []string
}

func (c *checks) CheckEngines(engines []*registry.Entry) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, e := range engines {
		c.checked = append(c.checked, e.ID)
	}
}

func (c *checks) EngineUnresponsive(e *registry.Entry) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.told = append(c.told, e.ID)
}

// checkedBy returns the engines that were checked, by router.
func (f *fleet) checkedBy() map[string][]string {
	all := make(map[string][]string)
	for name, c := range f.checks {
		c.mu.Lock()
		if len(c.checked) > 0 {
			all[name], c.checked = c.checked, nil
		}
		c.mu.Unlock()
	}
	return all
}

func newFleet(t *testing.T) *fleet {
	f := &fleet{WithT: NewWithT(t), t: t, routers: map[string]*placing.Placing{}, dead: map[string]bool{}, servers: map[string]*registry.Registry{}, checks: map[string]*checks{}}
	var all []server.Server
	for i := range 48 {
		all = append(all, server.Server{ID: fmt.Sprintf("i-%03d", i), Service: "engines", Domain: string(rune('a' + i%3)), Slots: 48, Started: 1_790_000_000_000})
	}
	log := logrus.New()
	log.SetOutput(io.Discard)
	for i := range 12 {
		name := fmt.Sprint("r-", i)
		servers := registry.New()
		servers.Set(storehistory.Position{Revision: 1}, all)
		f.servers[name], f.checks[name] = servers, &checks{}
		f.routers[name] = placing.New(placing.Config{
			Self: name, Servers: servers, Limits: noLimits{}, Checks: f.checks[name], Active: func() bool { return !f.small.Load() }, Send: f.send, Log: log.WithField("part", "placing"),
			Cost:  func(e balance.Engine, _ enginespeed.Speed, p, o int) float64 { return balance.EngineCost(e, p, o) },
			Peers: func(time.Time) []gossip.Host { return f.peers() },
		})
	}
	for name, p := range f.routers {
		if name != "r-11" {
			go func() { _ = p.Run(t.Context()) }()
		}
	}
	return f
}

func (f *fleet) peers() (hosts []gossip.Host) {
	for name := range f.routers {
		hosts = append(hosts, gossip.Host{Name: name, DatagramAddress: name})
	}
	return hosts
}

func (f *fleet) send(address string, message []byte) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.sent++
	f.largest = max(f.largest, len(message))
	if !f.dead[address] {
		time.AfterFunc(2*time.Millisecond, func() { f.routers[address].Receive(message) })
	}
	return nil
}

// setLargest sets the size of the largest message and returns the last one.
func (f *fleet) setLargest(size int) (old int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	old, f.largest = f.largest, size
	return old
}

// setDead loses all datagrams to the routers of which dead is true.
func (f *fleet) setDead(dead func(name string) bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for name := range f.routers {
		f.dead[name] = dead(name)
	}
}

func (f *fleet) ask(name string) ([]enginetable.Offer, int, time.Duration) {
	start := time.Now()
	offers, answered := f.routers[name].Offers(f.t.Context(), "engines", enginetable.Question{Prompt: 5000, Output: 100, Capacity: 55000, Domain: "a"})
	return offers, answered, time.Since(start)
}

// load returns the load of an engine as its owner knows it.
func (f *fleet) load(engine enginetable.Key) (l enginetable.Load) {
	for _, p := range f.routers {
		if known := p.Load(engine); known.UsedTokens > l.UsedTokens {
			l = known
		}
	}
	return l
}

// An owner that has not heard of the attempts at its engines offers engines that are busy.
func TestOwnersHearOfAttemptsAndOffer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t)
		offers, answered, took := f.ask("r-0")
		f.Expect(answered).To(BeNumerically(">=", 2))
		f.Expect(offers).NotTo(BeEmpty())
		f.Expect(took).To(BeNumerically("<", 6*time.Millisecond))
		f.Expect(offers[0].Warming).To(BeTrue(), "nothing else can be offered yet")
		time.Sleep(4 * time.Second)
		offers, _, _ = f.ask("r-0")
		f.Expect(offers[0].Warming).To(BeFalse())
		placed := make(map[enginetable.Key]int)
		for range 48 {
			offers, _, _ = f.ask("r-0")
			placed[offers[0].Engine]++
			f.routers["r-0"].Begin(enginetable.Attempt{Engine: offers[0].Engine, PrefillTokens: 5000, UsedTokens: 5100}, offers[0])
		}
		for engine, n := range placed {
			f.Expect(n).To(BeNumerically("<=", 4), engine.ID)
		}
	})
}

// Without a repeat, an attempt whose notice was lost would be unknown for all its time, and that of
// a router that died would stay.
func TestAttemptsAreRepeatedAndExpire(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t)
		time.Sleep(4 * time.Second)
		offers, _, _ := f.ask("r-0")
		f.setDead(func(string) bool { return true }) // the notice is lost
		engine := offers[0].Engine
		id := f.routers["r-0"].Begin(enginetable.Attempt{Engine: engine, UsedTokens: 1, Backup: true}, enginetable.Offer{})
		time.Sleep(10 * time.Millisecond)
		f.setDead(func(string) bool { return false })
		time.Sleep(3 * time.Second)
		f.Expect(f.load(engine).UsedTokens).To(Equal(1))
		time.Sleep(20 * time.Second)
		f.Expect(f.load(engine).UsedTokens).To(Equal(1))
		f.routers["r-0"].End(id, enginespeed.Speed{})
		time.Sleep(time.Second)
		f.Expect(f.load(engine).UsedTokens).To(BeZero())
		f.routers["r-11"].Begin(enginetable.Attempt{Engine: engine, UsedTokens: 2, Backup: true}, enginetable.Offer{}) // it repeats nothing, as if it had died
		time.Sleep(4 * time.Second)
		f.Expect(f.load(engine).UsedTokens).To(Equal(2))
		time.Sleep(2 * time.Second)
		f.Expect(f.load(engine).UsedTokens).To(BeZero())
	})
}

// A dead owner must cost a placement no more than the time-out, once.
func TestDeadOwnersCostOneTimeout(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t)
		f.setDead(func(name string) bool { return name != "r-0" })
		total := time.Duration(0)
		for range 20 {
			_, _, took := f.ask("r-0")
			f.Expect(took).To(BeNumerically("<=", 25*time.Millisecond))
			total += took
		}
		f.Expect(total).To(BeNumerically("<=", 6*25*time.Millisecond), "two of eleven are asked at a time")
	})
}

// Messages of a placement are frequent, and one over the size of a packet is lost more often.
func TestMessagesAreSmall(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t)
		time.Sleep(4 * time.Second)
		f.setLargest(0)
		for range 30 {
			f.routers["r-0"].Begin(enginetable.Attempt{Engine: enginetable.Key{ID: "i-001", Started: 1_790_000_000_000}, PrefillTokens: 5200, UsedTokens: 6200}, enginetable.Offer{Owner: "r-1", Question: 1 << 39})
		}
		f.Expect(f.setLargest(0)).To(BeNumerically("<=", 100))
		time.Sleep(3 * time.Second)
		f.Expect(f.setLargest(0)).To(And(BeNumerically(">", 200), BeNumerically("<=", 1400)))
	})
}

// In a small fleet all routers know the loads.
func TestSmallFleetsSendNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t)
		f.small.Store(true)
		offers, answered, _ := f.ask("r-0")
		f.Expect(offers).To(BeEmpty())
		f.Expect(answered).To(BeZero())
		f.routers["r-0"].Begin(enginetable.Attempt{Engine: enginetable.Key{ID: "i-001", Started: 1_790_000_000_000}}, enginetable.Offer{})
		time.Sleep(5 * time.Second)
		f.mu.Lock()
		defer f.mu.Unlock()
		f.Expect(f.sent).To(BeZero())
	})
}
