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

// EngineState requests the state of an engine.
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

// StoreCounts returns the numbers of requests that the store received, by kind. They are
// zero if the store does not respond.
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

// Revision returns the revision in effect on a router, or 0 if it does not respond.
func (f *Fleet) Revision(r *Router) int64 {
	var status struct{ Revision int64 }
	_ = f.getAdmin(r, "/status", &status)
	return status.Revision
}

// Dump returns the internal state of a router.
func (f *Fleet) Dump(r *Router) (node.Dump, error) {
	var d node.Dump
	return d, f.getAdmin(r, "/dump", &d)
}

// getAdmin decodes the reply of a router to a GET request at its admin address.
func (f *Fleet) getAdmin(r *Router, path string, into any) error {
	req, err := http.NewRequest(http.MethodGet, "http://"+r.Host.AdminAddress+path, nil)
	if err != nil {
		return fmt.Errorf("build request: %w", err)
	}
	req.Header.Set("Authorization", "Bearer "+adminCredential)
	client := http.Client{Timeout: 2 * time.Second}
	res, err := client.Do(req)
	if err != nil {
		return fmt.Errorf("request to router %s: %w", r.Host.Name, err)
	}
	defer res.Body.Close()
	return json.NewDecoder(res.Body).Decode(into)
}

// logTail returns the last 400 bytes of the log of a process.
func (f *Fleet) logTail(name string) string {
	text, _ := os.ReadFile(filepath.Join(f.Dir, name+".log"))
	return string(text[max(0, len(text)-400):])
}
