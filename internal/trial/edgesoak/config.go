package edgesoak

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"time"

	"wisteriafield/internal/base/loop"
	"wisteriafield/platform"
)

// writeConfig writes the next version of the configuration.
func (h *harness) writeConfig(ctx context.Context) error {
	return h.ensureConfig(ctx, h.version.Add(1))
}

// ensureConfig writes a version of the configuration if the store does not have it or a
// newer one. The write is retried whatever the store holds, since a lost answer must not end
// the run.
func (h *harness) ensureConfig(ctx context.Context, version int64) error {
	value, err := encodeConfig(version)
	if err != nil {
		return err
	}
	for ctx.Err() == nil {
		old, err := h.store.Get(ctx, platform.ConfigKey)
		var stored struct{ Version int64 }
		if err == nil && json.Unmarshal(old.Body, &stored) == nil && stored.Version >= version {
			return nil
		}
		if _, err = h.store.Put(ctx, platform.ConfigKey, value, old.Revision, ""); err == nil {
			return nil
		}
		time.Sleep(100 * time.Millisecond)
	}
	return ctx.Err()
}

// encodeConfig returns a version of the configuration. Each version adds one route, by which
// callers see whether the version is in effect.
func encodeConfig(version int64) ([]byte, error) {
	routes := []map[string]any{
		{"name": "draft", "host": hostName, "prefix": "/draft/", "type": "streaming", "timeoutMs": 20000, "goalMs": 4500, "gapGoalMs": 700, "service": "redattore", "attempts": 5, "resumable": true, "sticky": true},
		{"name": "book", "host": hostName, "prefix": "/book/", "type": "non_idempotent", "timeoutMs": 2000, "goalMs": 100, "service": "banco", "attempts": 2},
		{"name": "look", "host": hostName, "prefix": "/look/", "type": "idempotent", "timeoutMs": 2000, "goalMs": 100, "service": "banco", "attempts": 2},
	}
	for v := int64(2); v <= version; v++ {
		routes = append(routes, map[string]any{"name": fmt.Sprint("v", v), "host": hostName, "prefix": fmt.Sprintf("/v%d/", v), "type": "idempotent", "timeoutMs": 2000, "service": "banco", "attempts": 2})
	}
	value, err := json.Marshal(map[string]any{
		"version": version, "routes": routes,
		"services": []map[string]any{{"name": "redattore", "engine": map[string]any{"slots": 16, "kvCapacity": 55000, "backups": true, "stride": 6, "handleS": 4}}, {"name": "banco"}},
		"tenants":  []map[string]any{{"name": "banco", "apiKeys": []string{organisationKey}}},
		"limits":   map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 1 << 20, "idleTimeoutMs": 30000},
	})
	if err != nil {
		return nil, fmt.Errorf("encode configuration: %w", err)
	}
	return value, nil
}

// changeConfig writes a new version of the configuration and checks that it takes
// effect in time on the routers that no fault disturbed.
func (s *soak) changeConfig(ctx context.Context, r *rand.Rand) {
	if err := s.writeConfig(ctx); err != nil {
		return
	}
	writtenAt, version := time.Now(), int(s.version.Load())
	s.count("changes of the configuration")
	loop.Sleep(ctx, configTimeout)
	for _, router := range s.routers {
		undisturbedAt, undisturbed := s.undisturbedSince()
		s.mu.Lock()
		stoppedAt := s.stoppedAt[router.name]
		s.mu.Unlock()
		if !undisturbed || undisturbedAt.After(writtenAt) || time.Since(stoppedAt) < 2*grace {
			continue
		}
		d, err := s.dump(router)
		if err != nil || d.ConfigVersion < version {
			s.reportProblem("%s is at version %d %s after %d was written: %v", router.name, d.ConfigVersion, configTimeout, version, err)
		}
		s.count("versions checked in time")
	}
	loop.Sleep(ctx, time.Duration(r.IntN(1000))*time.Millisecond)
}

// getVersionRoute sends a lookup on the route that a version added and returns its
// status, or 0 if there was no answer.
func (s *soak) getVersionRoute(ctx context.Context, r *router, version int) int {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	res, err := probeClient.Do(newRequest(ctx, http.MethodGet, r.callerLink.Address, fmt.Sprintf("/v%d/x", version), "x"))
	if err != nil {
		return 0
	}
	defer res.Body.Close()
	return res.StatusCode
}
