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
	draftTokens  = 300
	drainTimeout = 20 * time.Second
)

var errUnexpectedResult = errors.New("unexpected result")

// row is one line of the table that the demo prints at its end.
type row struct {
	event  string
	gap    time.Duration
	tokens int
	note   string
}

// demo runs the steps of the demo on a fleet and collects the rows of the table.
type demo struct {
	fleet  *fleet.Fleet
	caller *caller.Caller
	rows   []row
}

func runDemo(ctx context.Context, f *fleet.Fleet) error {
	ctx, cancel := context.WithTimeout(ctx, 55*time.Second)
	defer cancel()
	if err := f.Configure(ctx, printLine); err != nil {
		return err
	}
	d := &demo{fleet: f, caller: caller.New()}
	for _, step := range []func(context.Context) error{d.killEngine, d.killEntry, d.bookTwice, d.stopRouter} {
		if err := step(ctx); err != nil {
			return err
		}
	}
	d.printTable()
	return nil
}

// newDraft returns a request with an idempotency key of its own.
func (d *demo) newDraft() caller.Request {
	return caller.Request{
		Key: fleet.KeyScordia, IdempotencyKey: uuid.NewString(), Model: "redattore", MaxTokens: draftTokens,
		Prompt: "Draft a sponsor proposal for the roundabout at Piazza Verga, Catania, for a florist.",
	}
}

// killEngine kills the engine of a draft half-way through the answer.
func (d *demo) killEngine(ctx context.Context) error {
	printLine("1. a draft whose engine is killed half-way")
	killed := ""
	answer, err := d.caller.StreamTokens(ctx, d.fleet.CallerAddresses()[:1], d.newDraft(), func(n int) {
		if n == draftTokens/2 {
			killed = d.busiestEngine()
			d.fleet.Process(killed).Kill()
		}
	})
	if err != nil {
		return fmt.Errorf("draft: %w", err)
	}
	if err := answer.Check(draftTokens); err != nil {
		return err
	}
	if answer.Attempts() != 2 {
		return fmt.Errorf("%d attempts, want 2: %w", answer.Attempts(), errUnexpectedResult)
	}
	d.addRow(row{"engine " + killed + " killed", answer.MaxGap, len(answer.Texts), fmt.Sprintf("%d attempts", answer.Attempts())})
	for _, e := range d.fleet.Engines {
		if e.Name == killed {
			return d.fleet.StartEngine(e)
		}
	}
	return nil
}

// killEntry kills the router that the caller of a draft is connected to.
func (d *demo) killEntry(ctx context.Context) error {
	printLine("2. a draft whose entry router is killed half-way; the caller reconnects")
	entry := d.fleet.Routers[0]
	answer, err := d.caller.StreamTokens(ctx, d.fleet.CallerAddresses(), d.newDraft(), func(n int) {
		if n == draftTokens/2 {
			entry.Kill()
		}
	})
	if err != nil {
		return fmt.Errorf("draft: %w", err)
	}
	if err := answer.Check(draftTokens); err != nil {
		return err
	}
	d.addRow(row{"entry " + entry.Host.Name + " killed", answer.MaxGap, len(answer.Texts), fmt.Sprintf("%d reconnections, %d attempts", answer.Reconnections, answer.Attempts())})
	return d.fleet.StartRouter(entry)
}

// bookTwice sends the same booking through two routers at the same time.
func (d *demo) bookTwice(ctx context.Context) error {
	printLine("3. a booking sent through two routers at once with the same key")
	key, err := uuid.NewV7()
	if err != nil {
		return fmt.Errorf("create key: %w", err)
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
	executions, err := d.executions("banco-1", body)
	if err != nil {
		return err
	}
	if executions != 1 || replies[0].Status != http.StatusCreated || replies[0] != replies[1] {
		return fmt.Errorf("booking executed %d times, answers %+v: %w", executions, replies, errUnexpectedResult)
	}
	d.addRow(row{event: "booking through two routers", note: fmt.Sprintf("%d run, both callers got its answer", executions)})
	return nil
}

// stopRouter stops a router with SIGTERM during a stream.
func (d *demo) stopRouter(ctx context.Context) error {
	printLine("4. a router stopped with SIGTERM during a stream")
	router := d.fleet.Routers[1]
	stopped := make(chan bool, 1)
	answer, err := d.caller.StreamTokens(ctx, []string{router.Host.CallerAddress}, d.newDraft(), func(n int) {
		if n == draftTokens/3 {
			go func() { stopped <- router.Stop(drainTimeout) }()
		}
	})
	if err != nil {
		return fmt.Errorf("draft: %w", err)
	}
	if err := answer.Check(draftTokens); err != nil {
		return err
	}
	if answer.Reconnections != 0 || !<-stopped {
		return fmt.Errorf("%d reconnections, or the router did not end in time: %w", answer.Reconnections, errUnexpectedResult)
	}
	d.addRow(row{"router " + router.Host.Name + " stopped", answer.MaxGap, len(answer.Texts), "nothing cut, router ended by itself"})
	return nil
}

func (d *demo) addRow(r row) { d.rows = append(d.rows, r) }

func (d *demo) printTable() {
	w := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "\nWHAT\tLONGEST GAP\tTOKENS CHECKED\tNOTE")
	for _, r := range d.rows {
		fmt.Fprintf(w, "%s\t%s\t%d\t%s\n", r.event, r.gap.Round(time.Millisecond), r.tokens, r.note)
	}
	_ = w.Flush()
	printLine("all claims held")
}

// busiestEngine returns the name of the engine that has generated the most tokens.
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

// executions returns how often a service has executed the booking with the body.
func (d *demo) executions(server, body string) (int, error) {
	var executions map[string]int
	if err := getJSON("http://"+d.fleet.Services[server]+"/runs", &executions); err != nil {
		return 0, fmt.Errorf("request executions: %w", err)
	}
	return executions[body], nil
}

func getJSON(url string, into any) error {
	res, err := http.Get(url)
	if err != nil {
		return err
	}
	defer res.Body.Close()
	return json.NewDecoder(res.Body).Decode(into)
}
