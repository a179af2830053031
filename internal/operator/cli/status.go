package cli

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"sort"
	"sync"
	"text/tabwriter"
	"time"

	"wisteriafield/internal/config/manifest"
	"wisteriafield/internal/config/settings"
	"wisteriafield/internal/decision/storehistory"
	"wisteriafield/internal/platform/hosts"
	"wisteriafield/internal/platform/publish"
	"wisteriafield/internal/router/node"
)

const adminTimeout = 2 * time.Second

type statusCommand struct {
	output
	Settings string `long:"settings" required:"true" description:"operator settings"`
	JSON     bool   `long:"json" description:"print JSON"`
}

// routerStatus is the status that a router reports, or why it does not report one.
type routerStatus struct {
	Host      hosts.Host
	Status    node.Status
	Confirmed bool   // the router runs the revision that is in the store
	Ahead     bool   `json:",omitempty"` // the router runs a later one, which the store lost
	Problem   string `json:",omitempty"`
}

// Execute prints the revision in effect on each router.
func (c *statusCommand) Execute([]string) error {
	cfg, err := settings.LoadOperator(c.Settings)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(context.Background(), commandTimeout)
	defer cancel()
	var all []routerStatus
	for _, environment := range []string{trialEnvironment, productionEnvironment} {
		stored, _, err := publish.ReadManifest(ctx, newStore(cfg), environment)
		known := err == nil
		for _, r := range collectStatuses(ctx, cfg, environment) {
			if known {
				r.compare(&stored)
			}
			if !known && r.Problem == "" {
				r.Problem = "the store does not answer"
			}
			all = append(all, r)
		}
	}
	if c.JSON {
		if err := json.NewEncoder(c.out).Encode(all); err != nil {
			return fmt.Errorf("write: %w", err)
		}
	} else {
		c.printTable(all)
	}
	for _, r := range all {
		if !r.Confirmed {
			return errUnconfirmed
		}
	}
	return nil
}

func (c *statusCommand) printTable(all []routerStatus) {
	w := tabwriter.NewWriter(c.out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "ENVIRONMENT\tROUTER\tREVISION\tDIGEST\tSTATE")
	for _, r := range all {
		digest := r.Status.Digest
		if len(digest) > 12 {
			digest = digest[:12]
		}
		fmt.Fprintf(w, "%s\t%s\t%d\t%s\t%s\n", r.Host.Environment, r.Host.Name, r.Status.Revision, digest, r.state())
	}
	_ = w.Flush()
}

// compare sets whether the router runs the manifest in the store.
func (r *routerStatus) compare(stored *manifest.Manifest) {
	r.Confirmed = r.Problem == "" && r.Status.Position == stored.Position() && r.Status.Digest == stored.Digest
	r.Ahead = r.Problem == "" && stored.Position().Before(r.Status.Position)
}

// state describes the router in the table.
func (r *routerStatus) state() string {
	switch {
	case r.Problem != "":
		return "unconfirmed: " + r.Problem
	case r.Ahead:
		return "unconfirmed: ahead of the store, which was restored"
	case !r.Confirmed:
		return "unconfirmed: behind"
	case r.Status.Stopping:
		return "in force, stopping"
	default:
		return "in force"
	}
}

// collectStatuses requests the status of all listed routers of an environment. It
// returns nil if the platform's host list can't be read.
func collectStatuses(ctx context.Context, cfg settings.Settings, environment string) []routerStatus {
	list := hosts.New(hosts.Config{Address: cfg.Platform.Address, Credential: cfg.Platform.Credential})
	if err := list.Fetch(ctx, time.Millisecond); err != nil {
		return nil
	}
	routers := list.Routers(environment)
	sort.Slice(routers, func(i, j int) bool { return routers[i].Name < routers[j].Name })
	all := make([]routerStatus, len(routers))
	var wg sync.WaitGroup
	for i, h := range routers {
		wg.Add(1)
		go func() {
			defer wg.Done()
			all[i].Host = h
			if err := getAdminPage(ctx, cfg, h, "/status", &all[i].Status); err != nil {
				all[i].Problem = err.Error()
			}
		}()
	}
	wg.Wait()
	return all
}

// getAdminPage requests a path from a router's administration address and decodes
// the JSON reply.
func getAdminPage(ctx context.Context, cfg settings.Settings, h hosts.Host, path string, into any) error {
	ctx, cancel := context.WithTimeout(ctx, adminTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+h.AdminAddress+path, nil)
	if err != nil {
		return fmt.Errorf("build request: %w", err)
	}
	req.Header.Set("Authorization", "Bearer "+cfg.Credentials.Admin)
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return fmt.Errorf("no answer: %w", err)
	}
	defer res.Body.Close()
	if res.StatusCode != http.StatusOK {
		return fmt.Errorf("status %d", res.StatusCode)
	}
	return json.NewDecoder(res.Body).Decode(into)
}

// unconfirmedRouters returns the names of the routers that do not confirm a manifest at
// least as late as the position.
func unconfirmedRouters(routers []routerStatus, position storehistory.Position) []string {
	var pending []string
	for _, r := range routers {
		if r.Problem != "" || r.Status.Before(position) {
			pending = append(pending, r.Host.Name)
		}
	}
	return pending
}

// routersAhead returns the names of the routers that run a later manifest than the position.
func routersAhead(routers []routerStatus, position storehistory.Position) []string {
	var ahead []string
	for _, r := range routers {
		if r.Problem == "" && position.Before(r.Status.Position) {
			ahead = append(ahead, r.Host.Name)
		}
	}
	return ahead
}
