package relay

import (
	"context"
	"maps"
	"sync"
	"time"

	"github.com/pkg/errors"

	"wisteriafield/internal/backend/registry"
	"wisteriafield/internal/backend/server"
	"wisteriafield/internal/base/loop"
)

const (
	// sparePeriod is how often it is looked whether the engine with the copy lives.
	// Failure domains are lost some seconds apart.
	sparePeriod = 250 * time.Millisecond
	// spareTimeout bounds one copying: some 0.8 GB, queued behind others.
	spareTimeout = 1500 * time.Millisecond
	// spareTries bounds the engines that are asked to hold one run's copy.
	spareTries = 3
)

// spare is a copy of a run that was made since the engine that kept one was lost. It
// answers failure domains that are lost in turn: the first takes the copy, the next one
// the run.
type spare struct {
	mu     sync.Mutex
	holder *registry.Entry
	copy   *server.KVBackup
	until  time.Time // when the holder may drop it
}

// get returns the copy and its holder, if there is one still.
func (sp *spare) get(now time.Time) (*registry.Entry, *server.KVBackup) {
	sp.mu.Lock()
	defer sp.mu.Unlock()
	if sp.copy == nil || now.After(sp.until) {
		return nil, nil
	}
	return sp.holder, sp.copy
}

func (sp *spare) set(holder *registry.Entry, c *server.KVBackup, until time.Time) {
	sp.mu.Lock()
	defer sp.mu.Unlock()
	sp.holder, sp.copy, sp.until = holder, c, until
}

// keepSpare has the run copied to another engine if the one with its copy is lost, and
// again before that copy lapses, until ctx ends.
func (s *stream) keepSpare(ctx context.Context, target, backup *registry.Entry, excluded map[server.Key]bool, sp *spare) {
	lifetime := s.service.Engine.KeepsCopyFor
	var holder *registry.Entry
	var due time.Time
	for tries := 0; tries < spareTries && loop.Pause(ctx, sparePeriod); {
		if holder == nil {
			if !s.relay.gone(backup) {
				continue
			}
			excluded[backup.Key()] = true
			holder = s.relay.choose(ctx, s.service, s.req, excluded, target.Domain, backup.Domain).entry
			if holder == nil {
				continue
			}
			excluded[holder.Key()] = true
			defer holder.Load.ReserveBackup(s.req.PromptTokens)()
		}
		if s.relay.gone(holder) {
			backup, holder, due = holder, nil, time.Time{}
			continue
		}
		if time.Now().Before(due) {
			continue
		}
		began := time.Now()
		handle, err := s.relay.copyRun(ctx, target, s.req.ID, holder)
		if errors.Is(err, context.Canceled) {
			break
		}
		log := s.relay.cfg.Log.WithField("id", s.req.ID).WithField("server", target.ID).WithField("lost", backup.ID).
			WithField("holder", holder.ID).WithField("ms", time.Since(began).Milliseconds())
		if err != nil {
			log.WithError(err).Info("run not copied again")
			tries++
			holder = nil
			continue
		}
		log.Info("run copied again")
		sparesTotal.Inc()
		sp.set(holder, &server.KVBackup{Address: target.Address, ID: handle}, time.Now().Add(lifetime))
		due = time.Now().Add(lifetime / 2)
	}
}

// gone reports whether an engine was lost or started again.
func (r *Relay) gone(e *registry.Entry) bool {
	now := r.cfg.Servers.ByAddress(e.Address)
	return now == nil || now.Key() != e.Key() || now.Load.State(time.Now()).Down
}

func (r *Relay) copyRun(ctx context.Context, from *registry.Entry, run string, to *registry.Entry) (string, error) {
	ctx, cancel := context.WithTimeout(ctx, spareTimeout)
	defer cancel()
	return r.cfg.Client.CopyKVCache(ctx, from.Address, run, to.Address)
}

// startSpare watches over the copy of a run that has begun to answer, and returns where
// a newer one is.
func (s *stream) startSpare(ctx context.Context, target, backup *registry.Entry) *spare {
	sp := &spare{}
	if backup != nil && s.service.Engine != nil && s.service.Engine.CopiesRuns {
		go s.keepSpare(ctx, target, backup, maps.Clone(s.excluded), sp)
	}
	return sp
}

// dropSpare frees a copy that is not needed any more; if that fails it lapses.
func (r *Relay) dropSpare(sp *spare) {
	_, c := sp.get(time.Now())
	if c == nil {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), spareTimeout)
	defer cancel()
	if err := r.cfg.Client.DeleteBackup(ctx, *c); err != nil {
		r.cfg.Log.WithField("address", c.Address).WithError(err).Info("copy not freed")
	}
}
