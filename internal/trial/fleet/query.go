package fleet

import (
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"time"

	"wisteriafield/internal/router/node"
	"wisteriafield/platform/standin/platform"
)

// EngineState asks an engine.
func (f *Fleet) EngineState(e Engine) (EngineState, error) {
	var state EngineState
	client := http.Client{Timeout: 2 * time.Second}
	res, err := client.Get("http://" + e.Address + "/v1/state")
	if err != nil {
		return state, fmt.Errorf("engine state: %w", err)
	}
	defer res.Body.Close()
	return state, json.NewDecoder(res.Body).Decode(&state)
}

// StoreCounts returns how many calls the store got.
func (f *Fleet) StoreCounts() platform.Counts {
	var counts platform.Counts
	req, err := http.NewRequest(http.MethodGet, "http://"+f.PlatformAddress+"/v1/counts", nil)
	if err != nil {
		return counts
	}
	req.Header.Set("Authorization", "Bearer "+platformCredential)
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return counts
	}
	defer res.Body.Close()
	_ = json.NewDecoder(res.Body).Decode(&counts)
	return counts
}

// Revision returns the revision in force on a router, or 0.
func (f *Fleet) Revision(r *Router) int64 {
	var status struct{ Revision int64 }
	_ = f.admin(r, "/status", &status)
	return status.Revision
}

// Dump returns a router's state.
func (f *Fleet) Dump(r *Router) (node.Dump, error) {
	var d node.Dump
	return d, f.admin(r, "/dump", &d)
}

func (f *Fleet) admin(r *Router, path string, into any) error {
	req, err := http.NewRequest(http.MethodGet, "http://"+r.Host.AdminAddress+path, nil)
	if err != nil {
		return fmt.Errorf("build request: %w", err)
	}
	req.Header.Set("Authorization", "Bearer "+adminCredential)
	client := http.Client{Timeout: 2 * time.Second}
	res, err := client.Do(req)
	if err != nil {
		return fmt.Errorf("ask %s: %w", r.Host.Name, err)
	}
	defer res.Body.Close()
	return json.NewDecoder(res.Body).Decode(into)
}

// logEnd returns the last bytes of a process's log.
func (f *Fleet) logEnd(name string) string {
	text, _ := os.ReadFile(filepath.Join(f.Dir, name+".log"))
	return string(text[max(0, len(text)-400):])
}
