// Package hosts follows the platform's lagging list of live and leaving hosts.
package hosts

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/url"
	"strconv"
	"sync/atomic"
	"time"

	"wisteriafield/internal/base/loop"
)

// State is what the platform says of a host.
type State string

const (
	// Live means that the host is up, as far as the platform knows.
	Live State = "Live"
	// Leaving means that the host gets no new work.
	Leaving State = "Leaving"
	// Gone means that the host is no more.
	Gone State = "Gone"
)

// Kind is what runs on a host.
type Kind string

const (
	// Router is a host of this system.
	Router Kind = "Router"
	// Backend is a host of a backend server.
	Backend Kind = "Backend"
)

// Host is one entry of the list.
type Host struct {
	Name          string
	Kind          Kind
	State         State
	Environment   string
	Domain        string
	Region        string
	CallerAddress string `json:",omitempty"`
	PeerAddress   string `json:",omitempty"`
	AdminAddress  string `json:",omitempty"`
	Revision      int64
}

// Changes is a reply of the list: all hosts that changed after a revision.
type Changes struct {
	Revision int64
	Hosts    []Host
}

const (
	waitFor     = 25 * time.Second
	waitTimeout = 30 * time.Second
	retryAfter  = time.Second
)

// List is a copy of the platform's list. Readers never block.
type List struct {
	base       string
	credential string
	http       *http.Client
	hosts      atomic.Pointer[map[string]Host]
	revision   int64
	onChange   func()
}

// Config says where the list is.
type Config struct {
	Address    string
	Credential string
	OnChange   func() // called after each change; may be nil
}

// New returns an empty list.
func New(cfg Config) *List {
	l := &List{
		base:       "http://" + cfg.Address,
		credential: cfg.Credential,
		http:       &http.Client{Timeout: waitTimeout},
		onChange:   cfg.OnChange,
	}
	l.hosts.Store(&map[string]Host{})
	return l
}

// All returns the hosts by name. The map must not be changed.
func (l *List) All() map[string]Host { return *l.hosts.Load() }

// Snapshot returns the present map; its address changes with each change.
func (l *List) Snapshot() *map[string]Host { return l.hosts.Load() }

// Host returns a host by name.
func (l *List) Host(name string) (Host, bool) {
	h, ok := l.All()[name]
	return h, ok
}

// Routers returns the live routers of an environment.
func (l *List) Routers(environment string) []Host {
	var all []Host
	for _, h := range l.All() {
		if h.Kind == Router && h.State == Live && h.Environment == environment {
			all = append(all, h)
		}
	}
	return all
}

// Run follows the list until ctx ends. While the platform is out of reach the
// last copy stays.
func (l *List) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		if err := l.Fetch(ctx, waitFor); err != nil {
			loop.Sleep(ctx, retryAfter)
		}
	}
	return nil
}

// Fetch waits for changes at most for the given time and takes them in.
func (l *List) Fetch(ctx context.Context, wait time.Duration) error {
	query := url.Values{"after": {strconv.FormatInt(l.revision, 10)}, "wait": {wait.String()}}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, l.base+"/v1/hosts?"+query.Encode(), nil)
	if err != nil {
		return fmt.Errorf("build request: %w", err)
	}
	req.Header.Set("Authorization", "Bearer "+l.credential)
	res, err := l.http.Do(req)
	if err != nil {
		return fmt.Errorf("get hosts: %w", err)
	}
	defer res.Body.Close()
	if res.StatusCode != http.StatusOK {
		return fmt.Errorf("get hosts: status %d", res.StatusCode)
	}
	var changes Changes
	if err := json.NewDecoder(res.Body).Decode(&changes); err != nil {
		return fmt.Errorf("decode hosts: %w", err)
	}
	l.Merge(changes)
	return nil
}

// Merge takes changes in.
func (l *List) Merge(changes Changes) {
	if len(changes.Hosts) == 0 {
		return
	}
	merged := make(map[string]Host)
	for name, h := range l.All() {
		merged[name] = h
	}
	for _, h := range changes.Hosts {
		if h.State == Gone {
			delete(merged, h.Name)
			continue
		}
		merged[h.Name] = h
	}
	l.hosts.Store(&merged)
	l.revision = max(l.revision, changes.Revision)
	if l.onChange != nil {
		l.onChange()
	}
}
