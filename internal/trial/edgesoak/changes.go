package edgesoak

import (
	"fmt"
	"math/rand/v2"
)

// configChange is what a version changes besides the route that it adds.
type configChange string

const (
	changeDraftService configChange = "drafts moved to the other engines or back"
	changeDraftSplit   configChange = "drafts split by weights or joined"
	changeDraftTimeout configChange = "timeout of drafts changed"
	changeLookService  configChange = "lookups moved to the other service or back"
	changeLookSplit    configChange = "lookups split by weights or joined"
	changeCallTimeout  configChange = "timeout of calls changed"
	changeIdleTimeout  configChange = "idle timeout changed"
	changeKey          configChange = "unused key added or removed"
	changeRouteOnly    configChange = "only a route added"
)

// moves need servers of the other services.
var (
	moves        = []configChange{changeDraftService, changeDraftSplit, changeLookService, changeLookSplit}
	otherChanges = []configChange{changeDraftTimeout, changeCallTimeout, changeIdleTimeout, changeKey, changeRouteOnly}
)

// Services of the fleet. Routes move between a service and the other one of its kind.
const (
	engineService      = "redattore"
	otherEngineService = "correttore"
	deskService        = "banco"
	otherDeskService   = "sportello"
)

// shortIdleMs is about the time between two calls of a caller to a router.
const shortIdleMs = 250

// unusedKey is a key that no caller has.
const unusedKey = "key-of-nobody"

// changesUpTo returns which changes are in effect in a version: those that an odd number of
// versions made.
func changesUpTo(opts Options, version int64) map[configChange]bool {
	kinds := otherChanges
	if opts.Others > 0 {
		kinds = append(kinds[:len(kinds):len(kinds)], moves...)
	}
	r := rand.New(rand.NewPCG(opts.Seed, 500))
	inEffect := make(map[configChange]bool)
	for range version - 1 {
		change := pick(kinds, r)
		inEffect[change] = !inEffect[change]
	}
	return inEffect
}

func choose[T any](first bool, a, b T) T {
	if first {
		return a
	}
	return b
}

// routeTo sets the service of a route, or the two services that share it.
func routeTo(route map[string]any, moved, split bool, service, other string) map[string]any {
	route["service"] = choose(moved, other, service)
	if split {
		route["split"] = []map[string]any{{"service": service, "weight": choose(moved, 1, 3)}, {"service": other, "weight": choose(moved, 3, 1)}}
	}
	return route
}

// configValue returns a version of the configuration. Each version adds one route, by which
// callers see whether the version is in effect, and may change something else.
func configValue(opts Options, version int64) map[string]any {
	in := changesUpTo(opts, version)
	callMs := choose(in[changeCallTimeout], 1500, 2000)
	draft := map[string]any{"name": "draft", "host": hostName, "prefix": "/draft/", "type": "streaming", "timeoutMs": choose(in[changeDraftTimeout], 15000, 20000), "goalMs": 4500, "gapGoalMs": 700, "attempts": 5, "resumable": true, "sticky": true}
	look := map[string]any{"name": "look", "host": hostName, "prefix": "/look/", "type": "idempotent", "timeoutMs": callMs, "goalMs": 100, "attempts": 2}
	routes := []map[string]any{
		routeTo(draft, in[changeDraftService], in[changeDraftSplit], engineService, otherEngineService),
		{"name": "book", "host": hostName, "prefix": "/book/", "type": "non_idempotent", "timeoutMs": callMs, "goalMs": 100, "service": deskService, "attempts": 2},
		routeTo(look, in[changeLookService], in[changeLookSplit], deskService, otherDeskService),
	}
	for v := int64(2); v <= version; v++ {
		routes = append(routes, map[string]any{"name": fmt.Sprint("v", v), "host": hostName, "prefix": fmt.Sprintf("/v%d/", v), "type": "idempotent", "timeoutMs": 2000, "service": deskService, "attempts": 2})
	}
	engine := map[string]any{"slots": 16, "kvCapacity": 55000, "backups": true, "stride": 6, "handleS": 4}
	services := []map[string]any{{"name": engineService, "engine": engine}, {"name": deskService}}
	if opts.Others > 0 {
		services = append(services, map[string]any{"name": otherEngineService, "engine": engine}, map[string]any{"name": otherDeskService})
	}
	return map[string]any{
		"version": version, "routes": routes, "services": services,
		"tenants": []map[string]any{{"name": "banco", "apiKeys": choose(in[changeKey], []string{organisationKey, unusedKey}, []string{organisationKey})}},
		"limits":  map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 1 << 20, "idleTimeoutMs": choose(in[changeIdleTimeout], shortIdleMs, 30000)},
	}
}
