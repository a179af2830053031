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

// writeConfig writes the next version of the configuration and returns it.
func (h *harness) writeConfig(ctx context.Context) (int64, error) {
	defer h.changes.begin()()
	version := h.version.Add(1)
	return version, h.ensureConfig(ctx, version)
}

// ensureConfig writes a version of the configuration if the store does not have it or a
// newer one. The write is retried whatever the store holds, since a lost answer must not end
// the run.
func (h *harness) ensureConfig(ctx context.Context, version int64) error {
	value, err := json.Marshal(configValue(h.opts, version))
	if err != nil {
		return fmt.Errorf("encode configuration: %w", err)
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

// changeConfig writes a new version of the configuration and checks that it takes effect in
// time.
func (s *soak) changeConfig(ctx context.Context, r *rand.Rand) {
	written, err := s.writeConfig(ctx)
	if err != nil {
		return
	}
	s.checkVersion(ctx, int(written), time.Now())
	loop.Sleep(ctx, time.Duration(r.IntN(1000))*time.Millisecond)
}

// checkVersion checks that a version of the configuration takes effect in time at each router
// that no fault disturbed and that reaches the store, whatever happens to other routers.
func (s *soak) checkVersion(ctx context.Context, version int, writtenAt time.Time) {
	s.count("changes of the configuration")
	loop.Sleep(ctx, configTimeout)
	for _, router := range s.routers {
		s.mu.Lock()
		stoppedAt := s.stoppedAt[router.name]
		s.mu.Unlock()
		if !s.undisturbed(router, writtenAt.Add(-disturbanceTimeout), time.Now()) || time.Since(stoppedAt) < 2*grace {
			continue
		}
		d, err := s.dump(router)
		if err != nil || d.ConfigVersion < version {
			s.reportProblem("%s is at version %d %s after %d was written: %v", router.name, d.ConfigVersion, configTimeout, version, err)
		}
		s.count("versions checked in time")
	}
}

// getVersionRoute sends a lookup on the route that a version added and returns its
// status, or 0 if there was no answer.
func (s *soak) getVersionRoute(ctx context.Context, r *router, version int) int {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	res, err := probeClient.Do(newRequest(ctx, http.MethodGet, s.callerAddress(r), fmt.Sprintf("/v%d/x", version), "x"))
	if err != nil {
		return 0
	}
	defer res.Body.Close()
	return res.StatusCode
}
