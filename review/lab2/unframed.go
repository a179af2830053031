package main

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"time"
)

func init() { cases["unframed"] = playUnframed }

// playUnframed sends requests to six servers whose answers have no length and end with their
// connections, and kills one of them with SIGKILL four times. No client may get a success
// with a part of the body.
func playUnframed(f *fleet) (held bool, err error) {
	if err := f.startStore(); err != nil {
		return false, err
	}
	routes := []map[string]any{route("submit", "/submit/", "non_idempotent", "ledger", 1500, 1), route("lookup", "/lookup/", "idempotent", "ledger", 1500, 2)}
	if err := f.writeConfig(config(1, routes, []map[string]any{service("ledger")})); err != nil {
		return false, err
	}
	incarnation := 0
	var addresses []string
	for range 6 {
		addresses = append(addresses, freeAddress())
	}
	startServer := func(i int) (*process, error) {
		incarnation++
		return f.startServer(fmt.Sprintf("i-ledger-%d-%d", i+1, incarnation), addresses[i], "ledger", "--unframed", "--gap", "25ms")
	}
	servers := make([]*process, len(addresses))
	for i := range servers {
		if servers[i], err = startServer(i); err != nil {
			return false, err
		}
	}
	if err := f.startRouters(3); err != nil {
		return false, err
	}
	time.Sleep(2 * time.Second)
	var mu sync.Mutex
	counts := make(map[string]int)
	broken := 0
	var wg sync.WaitGroup
	end := time.Now().Add(24 * time.Second)
	for c := range 24 {
		wg.Go(func() {
			for n := 0; time.Now().Before(end); n++ {
				id := fmt.Sprintf("c%d-%d", c, n)
				method, target := "GET", "/lookup/rates"
				if c%2 == 0 {
					method, target = "POST", "/submit/budget"
				}
				a := send(f.routers[(c+n)%3].front(), method, target, id, "", "", 1500*time.Millisecond)
				outcome := fmt.Sprintf("%s %d", method, a.status)
				switch {
				case a.err != nil:
					outcome = method + " no complete answer"
				case a.status == 200 && a.body != body(id):
					outcome += " with a part of the body"
					f.logf("MIXED: %s %s at %s: status 200, seal %q, Content-Length %q, complete for the client with %d of %d bytes",
						method, id, f.routers[(c+n)%3].name, a.header.Get("X-Server-Seal"), a.header.Get("Content-Length"), len(a.body), len(body(id)))
				}
				mu.Lock()
				counts[outcome]++
				if a.status == 200 && a.err == nil && a.body != body(id) {
					broken++
				}
				mu.Unlock()
				time.Sleep(time.Duration(20+rand.IntN(40)) * time.Millisecond)
			}
		})
	}
	for range 4 {
		time.Sleep(2500 * time.Millisecond)
		if !f.trial {
			continue
		}
		f.logf("SIGKILL to %s", servers[0].name)
		servers[0].kill()
		time.Sleep(2 * time.Second)
		if servers[0], err = startServer(0); err != nil {
			return false, err
		}
	}
	wg.Wait()
	for outcome, n := range counts {
		f.logf("%s: %d", outcome, n)
	}
	if counts["GET 200"]+counts["POST 200"] < 100 {
		return false, fmt.Errorf("only %d requests were served", counts["GET 200"]+counts["POST 200"])
	}
	return broken == 0, nil
}
