package main

import (
	"fmt"
	"strings"
	"sync"
	"time"
)

func init() { cases["escaped"] = playEscaped }

const (
	servers       = 5
	losingServers = 3
	loseShare     = "0.4"
	loseTime      = 4 * time.Second
	losePause     = 4 * time.Second
	loseTimes     = 3
)

// playEscaped sends submissions to "/budget/", which may run once, for a budget whose name has a
// slash. The slash is escaped, so the path does not begin with "/budget/rates/", the prefix of a
// route whose requests may be repeated. Three times, for some seconds, three of five
// servers lose a part of their answers.
func playEscaped(f *fleet) (held bool, err error) {
	if err := f.startStore(); err != nil {
		return false, err
	}
	routes := []map[string]any{
		route("submit", "/budget/", "non_idempotent", "ledger", 1500, 1),
		route("rates", "/budget/rates/", "idempotent", "ledger", 1500, 2),
	}
	if err := f.writeConfig(config(1, routes, []map[string]any{service("ledger")})); err != nil {
		return false, err
	}
	loseFrom := time.Now().Add(6 * time.Second)
	var names []string
	for i := range servers {
		name := fmt.Sprintf("i-ledger-%d", i+1)
		names = append(names, name)
		flags := []string{"--gap", "2ms"}
		if f.trial && i < losingServers {
			flags = append(flags, "--lose", loseShare, "--lose-from", fmt.Sprint(loseFrom.UnixMilli()),
				"--lose-for", loseTime.String(), "--lose-pause", losePause.String(), "--lose-times", fmt.Sprint(loseTimes))
		}
		if _, err := f.startServer(name, freeAddress(), "ledger", flags...); err != nil {
			return false, err
		}
	}
	if err := f.startRouters(3); err != nil {
		return false, err
	}
	time.Sleep(2 * time.Second)
	var wg sync.WaitGroup
	end := time.Now().Add(26 * time.Second)
	for c := range 4 {
		wg.Go(func() {
			for n := 0; time.Now().Before(end); n++ {
				target := "/budget/rates%2F2026"
				if n%2 == 1 {
					target = "/budget/salaries"
				}
				id := fmt.Sprintf("c%d-%d", c, n)
				r := f.routers[(c+n)%3]
				a := send(r.front(), "POST", target, id, "", `{"amount":100}`, 1500*time.Millisecond)
				f.logf("client sent %s POST %s to %s: status %d, seal %q, error %v", id, target, r.name, a.status, a.header.Get("X-Server-Seal"), a.err)
				time.Sleep(80 * time.Millisecond)
			}
		})
	}
	wg.Wait()
	time.Sleep(time.Second)
	runs := make(map[string][]string)
	for _, name := range names {
		for line := range strings.Lines(f.copyLog(name)) {
			if _, run, ok := strings.Cut(line, " run "); ok {
				id, rest, _ := strings.Cut(run, " ")
				runs[id] = append(runs[id], name+" "+strings.TrimSpace(rest))
			}
		}
	}
	twice := 0
	for id, at := range runs {
		if len(at) > 1 {
			twice++
			f.logf("TWICE: %s ran %d times: %s", id, len(at), strings.Join(at, "; "))
		}
	}
	f.logf("%d requests ran, %d of them more than once", len(runs), twice)
	if len(runs) < 100 {
		return false, fmt.Errorf("only %d requests ran", len(runs))
	}
	return twice == 0, nil
}
