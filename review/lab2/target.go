package main

import (
	"fmt"
	"strings"
	"time"
)

func init() { cases["target"] = playTarget }

// playTarget sends requests whose paths begin with two slashes, which the route with the prefix
// "/" matches, and checks that the server gets the path as the client sent it.
func playTarget(f *fleet) (held bool, err error) {
	if err := f.startStore(); err != nil {
		return false, err
	}
	routes := []map[string]any{route("all", "/", "non_idempotent", "ledger", 800, 1)}
	if err := f.writeConfig(config(1, routes, []map[string]any{service("ledger")})); err != nil {
		return false, err
	}
	for i := range 2 {
		if _, err := f.startServer(fmt.Sprintf("i-ledger-%d", i+1), freeAddress(), "ledger"); err != nil {
			return false, err
		}
	}
	if err := f.startRouters(2); err != nil {
		return false, err
	}
	time.Sleep(2 * time.Second)
	targets := []string{"/drafts/7?x=1", "/a//b"}
	if f.trial {
		targets = append(targets, "//drafts/7?x=1", "//submit")
	}
	sent := make(map[string]string)
	for n, target := range targets {
		id := fmt.Sprintf("a%d", n)
		sent[id] = target
		a := send(f.routers[n%2].front(), "POST", target, id, "", "{}", 1500*time.Millisecond)
		f.logf("client sent %s POST %s to %s: status %d, seal %q, %d bytes, error %v", id, target, f.routers[n%2].name, a.status, a.header.Get("X-Server-Seal"), len(a.body), a.err)
	}
	held = true
	runs := 0
	for i := range 2 {
		for line := range strings.Lines(f.copyLog(fmt.Sprintf("i-ledger-%d", i+1))) {
			_, run, ok := strings.Cut(line, " run ")
			if !ok {
				continue
			}
			runs++
			id, rest, _ := strings.Cut(run, " ")
			if want := fmt.Sprintf("line %q", "POST "+sent[id]+" HTTP/1.1"); !strings.HasPrefix(rest, want) {
				f.logf("UNASKED: %s ran as %s, the client sent %s", id, strings.TrimSpace(rest), want)
				held = false
			}
		}
	}
	if runs == 0 {
		return false, fmt.Errorf("no request ran")
	}
	return held, nil
}
