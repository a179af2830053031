package demo

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"sync"
	"text/tabwriter"
	"time"

	"github.com/google/uuid"
	"github.com/pkg/errors"

	"wisteriafield/internal/trial/caller"
	"wisteriafield/internal/trial/fleet"
)

const (
	draftTokens = 300
	drainWithin = 20 * time.Second
)

var errNotHeld = errors.New("a claim did not hold")

// row is one line of the closing table.
type row struct {
	what   string
	gap    time.Duration
	tokens int
	note   string
}

type demo struct {
	fleet  *fleet.Fleet
	caller *caller.Caller
	rows   []row
}

func runDemo(ctx context.Context, f *fleet.Fleet) error {
	ctx, cancel := context.WithTimeout(ctx, 55*time.Second)
	defer cancel()
	if err := f.Configure(ctx, say); err != nil {
		return err
	}
	d := &demo{fleet: f, caller: caller.New()}
	for _, step := range []func(context.Context) error{d.killEngine, d.killEntry, d.bookTwice, d.stopRouter} {
		if err := step(ctx); err != nil {
			return err
		}
	}
	d.table()
	return nil
}

func (d *demo) draft() caller.Request {
	return caller.Request{
		Key: fleet.KeyScordia, IdempotencyKey: uuid.NewString(), Model: "redattore", MaxTokens: draftTokens,
		Prompt: "Draft a sponsor proposal for the roundabout at Piazza Verga, Catania, for a florist.",
	}
}

// killEngine kills the engine of a draft half-way.
func (d *demo) killEngine(ctx context.Context) error {
	say("1. a draft whose engine is killed half-way")
	killed := ""
	a, err := d.caller.StreamTokens(ctx, d.fleet.CallerAddresses()[:1], d.draft(), func(n int) {
		if n == draftTokens/2 {
			killed = d.busiestEngine()
			d.fleet.Process(killed).Kill()
		}
	})
	if err != nil {
		return fmt.Errorf("draft: %w", err)
	}
	if err := a.Check(draftTokens); err != nil {
		return err
	}
	if a.Attempts() != 2 {
		return fmt.Errorf("%d attempts, want 2: %w", a.Attempts(), errNotHeld)
	}
	d.add(row{"engine " + killed + " killed", a.MaxGap, len(a.Texts), fmt.Sprintf("%d attempts", a.Attempts())})
	for _, e := range d.fleet.Engines {
		if e.Name == killed {
			return d.fleet.StartEngine(e)
		}
	}
	return nil
}

// killEntry kills the router that a draft's caller is connected to.
func (d *demo) killEntry(ctx context.Context) error {
	say("2. a draft whose entry router is killed half-way; the caller reconnects")
	victim := d.fleet.Routers[0]
	a, err := d.caller.StreamTokens(ctx, d.fleet.CallerAddresses(), d.draft(), func(n int) {
		if n == draftTokens/2 {
			victim.Kill()
		}
	})
	if err != nil {
		return fmt.Errorf("draft: %w", err)
	}
	if err := a.Check(draftTokens); err != nil {
		return err
	}
	d.add(row{"entry " + victim.Host.Name + " killed", a.MaxGap, len(a.Texts), fmt.Sprintf("%d reconnections, %d attempts", a.Reconnections, a.Attempts())})
	return d.fleet.StartRouter(victim)
}

// bookTwice makes one booking through two routers at once.
func (d *demo) bookTwice(ctx context.Context) error {
	say("3. a booking sent through two routers at once with the same key")
	key, err := uuid.NewV7()
	if err != nil {
		return fmt.Errorf("make key: %w", err)
	}
	body := `{"Roundabout":"Piazza Verga","Sponsor":"Fioraio Rossi","Key":"` + key.String() + `"}`
	routers := []string{d.fleet.Routers[1].Host.CallerAddress, d.fleet.Routers[2].Host.CallerAddress}
	replies := make([]caller.Reply, len(routers))
	var wg sync.WaitGroup
	for i, router := range routers {
		wg.Add(1)
		go func() {
			defer wg.Done()
			replies[i], err = d.caller.Call(ctx, router, fleet.KeyScordia, key.String(), http.MethodPost, "/banco/bookings", body)
		}()
	}
	wg.Wait()
	runs, err := d.runs("banco-1", body)
	if err != nil {
		return err
	}
	if runs != 1 || replies[0].Status != http.StatusCreated || replies[0] != replies[1] {
		return fmt.Errorf("%d runs, answers %+v: %w", runs, replies, errNotHeld)
	}
	d.add(row{what: "booking through two routers", note: fmt.Sprintf("%d run, both callers got its answer", runs)})
	return nil
}

// stopRouter stops a router gracefully during a stream.
func (d *demo) stopRouter(ctx context.Context) error {
	say("4. a router stopped with SIGTERM during a stream")
	victim := d.fleet.Routers[1]
	stopped := make(chan bool, 1)
	a, err := d.caller.StreamTokens(ctx, []string{victim.Host.CallerAddress}, d.draft(), func(n int) {
		if n == draftTokens/3 {
			go func() { stopped <- victim.Stop(drainWithin) }()
		}
	})
	if err != nil {
		return fmt.Errorf("draft: %w", err)
	}
	if err := a.Check(draftTokens); err != nil {
		return err
	}
	if a.Reconnections != 0 || !<-stopped {
		return fmt.Errorf("stream cut %d times, or the router did not end: %w", a.Reconnections, errNotHeld)
	}
	d.add(row{"router " + victim.Host.Name + " stopped", a.MaxGap, len(a.Texts), "nothing cut, router ended by itself"})
	return nil
}

func (d *demo) add(r row) { d.rows = append(d.rows, r) }

func (d *demo) table() {
	w := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "\nWHAT\tLONGEST GAP\tTOKENS CHECKED\tNOTE")
	for _, r := range d.rows {
		fmt.Fprintf(w, "%s\t%s\t%d\t%s\n", r.what, r.gap.Round(time.Millisecond), r.tokens, r.note)
	}
	_ = w.Flush()
	say("all claims held")
}

// busiestEngine returns the engine that runs something.
func (d *demo) busiestEngine() string {
	best, most := d.fleet.Engines[0].Name, -1
	for _, e := range d.fleet.Engines {
		var state struct{ Stats struct{ Tokens int } }
		if getJSON("http://"+e.Address+"/v1/state", &state) == nil && state.Stats.Tokens > most {
			best, most = e.Name, state.Stats.Tokens
		}
	}
	return best
}

func (d *demo) runs(server, body string) (int, error) {
	var runs map[string]int
	if err := getJSON("http://"+d.fleet.Services[server]+"/runs", &runs); err != nil {
		return 0, fmt.Errorf("runs: %w", err)
	}
	return runs[body], nil
}

func getJSON(url string, into any) error {
	res, err := http.Get(url)
	if err != nil {
		return err
	}
	defer res.Body.Close()
	return json.NewDecoder(res.Body).Decode(into)
}
