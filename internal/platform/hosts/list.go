// Package hosts keeps a local copy of the platform's list of live and leaving
// hosts. The list lags behind the state of the hosts.
package hosts

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"net/http"
	"net/url"
	"strconv"
	"sync/atomic"
	"time"

	"wisteriafield/internal/base/jsonwalk"
	"wisteriafield/internal/base/loop"
	"wisteriafield/internal/base/validanswer"
)

// State is the state of a host according to the platform.
type State string

const (
	// Live means that the host is up, as far as the platform knows.
	Live State = "Live"
	// Leaving means that the host must get no new work.
	Leaving State = "Leaving"
	// Gone means that the host no longer exists.
	Gone State = "Gone"
)

// Kind says what runs on a host.
type Kind string

const (
	// Router is a host that runs a router of this system.
	Router Kind = "Router"
	// Backend is a host that runs a backend server.
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

// Changes is the reply to a request for the list: all hosts that changed after a
// given revision.
type Changes struct {
	Revision int64
	Hosts    []Host
}

const (
	longPollWait    = 25 * time.Second
	longPollTimeout = 30 * time.Second
	retryDelay      = time.Second
	maxAnswerBytes  = 16 << 20 // some hundred bytes a host
)

// List is the local copy of the platform's list. Reading it never blocks.
type List struct {
	base       string
	credential string
	http       *http.Client
	hosts      atomic.Pointer[map[string]Host]
	revision   int64
	stale      bool // hosts is replaced by the next reply
	onChange   func()
}

// Config configures a List.
type Config struct {
	Address    string
	Credential string
	OnChange   func() // called after each change; may be nil
}

// New returns an empty list; Run or Fetch fills it.
func New(cfg Config) *List {
	l := &List{
		base:       "http://" + cfg.Address,
		credential: cfg.Credential,
		http:       &http.Client{Timeout: longPollTimeout, Transport: validanswer.Transport{Transport: http.DefaultTransport.(*http.Transport)}},
		onChange:   cfg.OnChange,
	}
	l.hosts.Store(&map[string]Host{})
	return l
}

// All returns the hosts by name. The map must not be changed.
func (l *List) All() map[string]Host { return *l.hosts.Load() }

// Snapshot returns the current map. Each change makes a new map, so equal pointers
// mean that nothing changed.
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

// Run polls the platform's list until ctx is done. While the platform is
// unreachable, the last copy stays.
func (l *List) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		if err := l.Fetch(ctx, longPollWait); err != nil {
			loop.Sleep(ctx, retryDelay)
		}
	}
	return nil
}

// Fetch requests the changes since the last fetch and applies them. If there are
// none, the platform waits for one at most for the given time.
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
	data, err := io.ReadAll(io.LimitReader(res.Body, maxAnswerBytes+1))
	if err != nil {
		return fmt.Errorf("read hosts: %w", err)
	}
	if len(data) > maxAnswerBytes {
		return fmt.Errorf("list of hosts has more than %d bytes", maxAnswerBytes)
	}
	changes, err := decodeChanges(data)
	if err != nil {
		return fmt.Errorf("decode hosts: %w", err)
	}
	switch {
	case changes.Revision < l.revision:
		// The platform's list went back; the next fetch reads it as a whole.
		l.revision, l.stale = 0, true
	case l.stale && len(changes.Hosts) > 0:
		l.stale = false
		l.apply(make(map[string]Host), changes)
	default:
		l.Merge(changes)
	}
	return nil
}

// decodeChanges decodes a reply. A host that can't be read is left out, and its last copy
// stays.
func decodeChanges(data []byte) (Changes, error) {
	var changes Changes
	err := jsonwalk.EachField(data, func(name string, value []byte) error {
		switch name {
		case "Revision":
			return json.Unmarshal(value, &changes.Revision)
		case "Hosts":
			if string(value) == "null" {
				return nil
			}
			return jsonwalk.EachElement(value, func(element []byte) error {
				var h Host
				if err := json.Unmarshal(element, &h); err == nil && h.Name != "" {
					changes.Hosts = append(changes.Hosts, h)
				}
				return nil
			})
		}
		return nil
	})
	return changes, err
}

// Merge applies changes to the list.
func (l *List) Merge(changes Changes) {
	if len(changes.Hosts) > 0 {
		l.apply(maps.Clone(l.All()), changes)
	}
}

// apply makes a map with changes the current one.
func (l *List) apply(merged map[string]Host, changes Changes) {
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
