package main

import (
	"crypto/rand"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"maps"
	"net/http"
	"strings"
	"time"
)

func init() { cases["storm"] = playStorm }

const (
	stormGap      = 60 * time.Millisecond
	stormVersions = 25 // 1.5 s
	configBound   = 2 * time.Second
	moreRoutes    = 1575             // that each of two changes adds
	judgedTime    = 15 * time.Second // shorter than the store's history of 20 s
	movedKey      = "wsjnbanfqasnmgkcuyj8"
)

// playStorm lets the configuration grow by many routes, twice, and then change 25 times within
// 1.5 s. The next version gives a key to another tenant. Requests that are sent later than configMs
// after its acknowledgement must run for that tenant.
func playStorm(f *fleet) (held bool, err error) {
	if err := f.startStore(); err != nil {
		return false, err
	}
	submit := route("submit", "/submit/", "non_idempotent", "ledger", 1500, 1)
	submit["public"] = false
	routes := []map[string]any{submit}
	version := 0
	write := func(holder string) error {
		version++
		c := config(version, routes, []map[string]any{service("ledger")})
		tenants := []map[string]any{{"name": "huka270", "apiKeys": []string{"key-of-huka270"}}, {"name": "kamo11", "apiKeys": []string{"key-of-kamo11"}}}
		for _, t := range tenants {
			if t["name"] == holder {
				t["apiKeys"] = append(t["apiKeys"].([]string), movedKey)
			}
		}
		c["tenants"] = tenants
		if value, err := json.Marshal(c); err == nil && (version < 5 || version%10 == 0) {
			f.logf("version %d: %d routes, %d bytes, key held by %s", version, len(routes), len(value), holder)
		}
		return f.writeConfig(c)
	}
	if err := write("huka270"); err != nil {
		return false, err
	}
	if _, err := f.startServer("i-ledger-1", freeAddress(), "ledger"); err != nil {
		return false, err
	}
	if err := f.startRouters(3); err != nil {
		return false, err
	}
	time.Sleep(4 * time.Second)
	for range 2 {
		for range moreRoutes {
			name := make([]byte, 8)
			_, _ = rand.Read(name)
			routes = append(routes, route("r-"+hex.EncodeToString(name), "/"+hex.EncodeToString(name)+"/", "idempotent", "ledger", 1500, 2))
		}
		if err := write("huka270"); err != nil {
			return false, err
		}
		time.Sleep(4 * time.Second)
	}
	if f.trial {
		began := time.Now()
		for n := range stormVersions {
			changed := maps.Clone(routes[len(routes)-1])
			changed["timeoutMs"] = 1000 + n
			routes[len(routes)-1] = changed
			if err := write("huka270"); err != nil {
				return false, err
			}
			time.Sleep(time.Until(began.Add(time.Duration(n+1) * stormGap)))
		}
		f.logf("%d versions were written in %s", stormVersions, time.Since(began).Round(time.Millisecond))
	}
	if err := write("kamo11"); err != nil {
		return false, err
	}
	acknowledged := time.Now()
	f.logf("version %d, which gives the key to kamo11, is acknowledged", version)
	late := make(map[string]bool) // requests that were sent later than configMs
	for n := 0; time.Since(acknowledged) < judgedTime; n++ {
		id, r := fmt.Sprintf("k%d", n), f.routers[n%len(f.routers)]
		passed := time.Since(acknowledged)
		a := send(r.front(), http.MethodPost, "/submit/x", id, "Authorization: Token "+movedKey+"\r\n", "{}", 1500*time.Millisecond)
		late[id] = passed > configBound
		f.logf("client sent %s to %s %s after the acknowledgement: status %d, seal %q", id, r.name, passed.Round(time.Millisecond), a.status, a.header.Get("X-Server-Seal"))
		time.Sleep(100 * time.Millisecond)
	}
	judged, broken := 0, 0
	for line := range strings.Lines(f.copyLog("i-ledger-1")) {
		_, run, ok := strings.Cut(line, " run ")
		id, rest, _ := strings.Cut(run, " ")
		if !ok || !late[id] {
			continue
		}
		judged++
		if !strings.Contains(rest, `tenant "kamo11"`) {
			broken++
			f.logf("CONFIG, UNASKED: %s ran for %s", id, strings.TrimSpace(rest))
		}
	}
	f.logf("%d of %d requests that were sent later than %s after the acknowledgement ran for the tenant that had the key before", broken, judged, configBound)
	if judged < 50 {
		return false, fmt.Errorf("only %d requests ran", judged)
	}
	return broken == 0, nil
}
