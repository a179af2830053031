package relay_test

import (
	"cmp"
	"context"
	"fmt"
	"io"
	"maps"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing/iotest"
	"time"

	"wisteriafield/internal/backend/server"
)

// fakeEngines is a set of engines that generate events 1 to eventCount for every request,
// one each gap. Every attempt with a backup engine is backed up there.
type fakeEngines struct {
	mu            sync.Mutex
	eventCount    int
	gap           time.Duration
	padding       string                  // at the end of each event
	withoutIDs    bool                    // events have none
	faults        map[string]engineFaults // by server ID
	backups       map[string]bool         // by address/attempt ID
	cachedPrompts map[string]string       // sessions by address
	dispatches    []server.Dispatch
	unreachable   int    // so many resumes can't be sent
	deadlyPart    string // a part of prompts that crashes every engine after its header
	deadlySession string // crashes every engine before its header

	// deadlyAfter is how long after it got a request with deadlySession an engine ends without an
	// answer, whether the connection is open or not; 0 for at once.
	deadlyAfter time.Duration
	crashed     map[string]int                     // by address, how often an engine has ended so
	down        map[string]bool                    // by address, until it is started again
	gone        bool                               // no engine listens
	check       func(address string) (bool, error) // in place of what Listens tells; may be nil
	probes      int                                // reports that were requested
	pausedUntil map[string]time.Time               // by server ID
	sent        []time.Time                        // of the dispatches
	ended       map[string]time.Time               // by server ID, when an attempt was cancelled
}

func (e *fakeEngines) Send(ctx context.Context, d server.Dispatch) (*server.Answer, error) {
	e.mu.Lock()
	e.dispatches = append(e.dispatches, d)
	e.sent = append(e.sent, time.Now())
	context.AfterFunc(ctx, func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		e.ended[d.Server.ID] = time.Now()
	})
	f := e.faults[d.Server.ID]
	backupKnown := d.RestoreFrom == nil || e.backups[d.RestoreFrom.Address+"/"+d.RestoreFrom.ID]
	unreachable := d.LastEventID > d.Request.LastEventID && e.unreachable > 0
	if unreachable {
		e.unreachable--
	}
	if d.BackupServer != nil {
		e.backups[d.BackupServer.Address+"/"+d.Request.ID] = true
	}
	e.mu.Unlock()
	switch {
	case unreachable:
		return nil, fmt.Errorf("dial: %w", server.ErrNotSent)
	case e.check != nil && e.isDown(d.Server.Address):
		return nil, fmt.Errorf("EOF: %w", server.ErrLost)
	case e.deadlyAfter > 0 && e.isDown(d.Server.Address):
		return nil, fmt.Errorf("dial: %w", server.ErrNotSent)
	case e.deadlyAfter > 0 && d.Request.SessionID() == e.deadlySession:
		return nil, e.crash(ctx, d.Server.Address)
	case e.deadlySession != "" && d.Request.SessionID() == e.deadlySession:
		return nil, fmt.Errorf("EOF: %w", server.ErrLost)
	case e.deadlyPart != "" && slices.Contains(d.Request.SharedPartIDs(), e.deadlyPart):
		body := iotest.ErrReader(io.ErrUnexpectedEOF)
		return &server.Answer{Status: http.StatusOK, Signed: true, Header: http.Header{"Seal": {d.Server.ID}}, Body: io.NopCloser(body)}, nil
	case f.refuses || !backupKnown:
		a := &server.Answer{Status: http.StatusServiceUnavailable, NotExecuted: true, Leaving: f.leaving, Body: http.NoBody}
		if f.retryIn > 0 {
			a.RetryAt = time.Now().Add(f.retryIn)
		}
		return a, nil
	case f.replaced:
		return &server.Answer{Status: http.StatusMisdirectedRequest, NotExecuted: true, ActualServerID: "i-other", Body: http.NoBody}, nil
	case f.answer != nil:
		a := *f.answer
		if a.Body == nil {
			a.Body = io.NopCloser(strings.NewReader(f.answerBody))
		}
		return &a, nil
	case f.errorBytes > 0:
		body := strings.NewReader(strings.Repeat("x", f.errorBytes))
		return &server.Answer{Status: http.StatusBadRequest, Signed: true, Header: http.Header{"Seal": {d.Server.ID}}, Body: io.NopCloser(body)}, nil
	case f.losesConnection:
		return nil, fmt.Errorf("reset: %w", server.ErrLost)
	case f.lostAttempt:
		<-ctx.Done()
		return nil, fmt.Errorf("closed: %w", server.ErrLost)
	}
	r, w := io.Pipe()
	if f.drips != "" {
		go drip(ctx, w, f.drips)
	} else if f.silentBetween > 0 {
		go pauseAfterEventWithoutID(ctx, w, f.silentBetween)
	} else {
		go e.generate(ctx, w, d, f)
	}
	return &server.Answer{Status: http.StatusOK, Signed: true, Header: http.Header{"Seal": {d.Server.ID}}, Body: r, CloseDelimited: f.closeDelimited, Limited: f.limit > 0, RateLimit: f.limit, Leaving: f.leaving}, nil
}

// drip writes the text every 100 ms until ctx ends.
func drip(ctx context.Context, w *io.PipeWriter, text string) {
	for {
		select {
		case <-ctx.Done():
			_ = w.CloseWithError(ctx.Err())
			return
		case <-time.After(100 * time.Millisecond):
		}
		if _, err := w.Write([]byte(text)); err != nil {
			return
		}
	}
}

func pauseAfterEventWithoutID(ctx context.Context, w *io.PipeWriter, pause time.Duration) {
	_, _ = io.WriteString(w, "id: 1\ndata: event 1\n\ndata: no ID\n\n")
	select {
	case <-ctx.Done():
		_ = w.CloseWithError(ctx.Err())
	case <-time.After(pause):
		_, _ = io.WriteString(w, "id: 2\ndata: event 2\n\n")
		_ = w.Close()
	}
}

func (e *fakeEngines) generate(ctx context.Context, w *io.PipeWriter, d server.Dispatch, f engineFaults) {
	for i := d.LastEventID + 1; i <= e.eventCount; i++ {
		if f.closesAfter > 0 && i > d.LastEventID+f.closesAfter {
			if f.cutsEvent {
				_, _ = fmt.Fprintf(w, "id: %d\ndata: ev", i)
			}
			_ = w.Close()
			return
		}
		if f.breakAfter > 0 && i > d.LastEventID+f.breakAfter {
			if f.unresponsive {
				<-ctx.Done()
			}
			_ = w.CloseWithError(io.ErrUnexpectedEOF)
			return
		}
		gap := e.gap
		if f.pause > 0 && i == d.LastEventID+f.pauseAfter+1 {
			if !f.repliesInPause {
				e.mu.Lock()
				e.pausedUntil[d.Server.ID] = time.Now().Add(f.pause)
				e.mu.Unlock()
			}
			gap = f.pause
		}
		if f.hangsAfter > 0 && i > d.LastEventID+f.hangsAfter {
			<-ctx.Done()
		}
		select {
		case <-ctx.Done():
			_ = w.CloseWithError(ctx.Err())
			return
		case <-time.After(gap):
		}
		id := fmt.Sprintf("id: %d\n", i)
		if e.withoutIDs {
			id = ""
		}
		unread := time.AfterFunc(cmp.Or(f.cutsUnread, time.Hour), func() { _ = w.CloseWithError(io.ErrUnexpectedEOF) })
		_, err := fmt.Fprintf(w, "%sdata: event %d%s\n\n", id, i, e.padding)
		unread.Stop()
		if err != nil {
			return
		}
	}
	_ = w.Close()
}

// Listens says that engines are gone if requests crash them.
func (e *fakeEngines) Listens(_ context.Context, address string) (bool, error) {
	if e.check != nil {
		return e.check(address)
	}
	if e.deadlyAfter > 0 {
		return !e.isDown(address), nil
	}
	return e.deadlySession == "" && e.deadlyPart == "" && !e.gone, nil
}

func (e *fakeEngines) Report(ctx context.Context, address string) (server.Report, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.probes++
	if e.faults[engineIDAt(address)].unresponsive || time.Now().Before(e.pausedUntil[engineIDAt(address)]) {
		return server.Report{}, context.DeadlineExceeded
	}
	if e.faults[engineIDAt(address)].lostAttempt {
		return server.Report{}, nil
	}
	if f := e.faults[engineIDAt(address)]; f.waiting > 0 {
		return server.Report{Queued: f.waiting, Active: 1}, nil
	}
	return server.Report{Active: 1}, nil
}

func (e *fakeEngines) CachedPromptParts(_ context.Context, address string) ([]server.PromptPart, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return []server.PromptPart{{ID: e.cachedPrompts[address], Tokens: 5000}}, nil
}

// CopyKVCache makes a backup whose ID contains the attempt ID.
func (e *fakeEngines) CopyKVCache(_ context.Context, address, attemptID, _ string) (string, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	backupID := "copy-of-" + attemptID
	e.backups[address+"/"+backupID] = true
	return backupID, nil
}

func (e *fakeEngines) DeleteBackup(_ context.Context, backup server.KVBackup) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	delete(e.backups, backup.Address+"/"+backup.ID)
	return nil
}

// dispatched returns the attempts so far.
func (e *fakeEngines) dispatched() []server.Dispatch {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]server.Dispatch(nil), e.dispatches...)
}

// setFaults replaces the faults of all engines, which probes may be reading.
func (e *fakeEngines) setFaults(faults map[string]engineFaults) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.faults = faults
}

// pauseReplies makes an engine answer no probes for a while.
func (e *fakeEngines) pauseReplies(id string, pause time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.pausedUntil[id] = time.Now().Add(pause)
}

// probed returns the number of reports that were requested.
func (e *fakeEngines) probed() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.probes
}

func (e *fakeEngines) sentTo() []string {
	e.mu.Lock()
	defer e.mu.Unlock()
	var ids []string
	for _, d := range e.dispatches {
		ids = append(ids, d.Server.ID)
	}
	return ids
}

// sentAt returns when the attempts so far were sent.
func (e *fakeEngines) sentAt() []time.Time {
	e.mu.Lock()
	defer e.mu.Unlock()
	return slices.Clone(e.sent)
}

// endedAt returns when the last attempt at each server was cancelled or had ended.
func (e *fakeEngines) endedAt() map[string]time.Time {
	e.mu.Lock()
	defer e.mu.Unlock()
	return maps.Clone(e.ended)
}

// engineIDAt returns the ID of the engine at an address. Engines i-0, i-1 and i-2 are in
// failure domains a, b and c.
func engineIDAt(address string) string { return "i-" + address[len("10.0.0."):len("10.0.0.")+1] }

func engineAddress(i int) string { return fmt.Sprintf("10.0.0.%d:80", i) }
