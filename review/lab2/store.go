package main

import (
	"encoding/json"
	"flag"
	"fmt"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	pageItems   = 500
	historyTime = 20 * time.Second // historyS of the settings
)

// item is a key as the store keeps and sends it.
type item struct {
	Key       string `json:"key"`
	Value     []byte `json:"value,omitempty"`
	Revision  int64  `json:"revision"`
	Created   int64  `json:"created,omitempty"`
	Lease     int64  `json:"lease,omitempty"`
	Tombstone bool   `json:"tombstone,omitempty"`

	at time.Time
}

type lease struct {
	ttl time.Duration
	end time.Time
}

// store is a stand-in for the platform's store. It takes the place of the project's, whose modules
// may be missing where there is no network.
type store struct {
	mu       sync.Mutex
	revision int64
	dropped  int64 // newest revision that the history has lost
	items    map[string]item
	history  []item
	leases   map[int64]lease
	changed  chan struct{} // closed and replaced at each change
}

// runStore runs a store until it is killed.
func runStore(args []string) int {
	flags := flag.NewFlagSet("store", flag.ExitOnError)
	address := flags.String("listen", "", "IP:PORT")
	_ = flags.Parse(args)
	s := &store{revision: 1, items: make(map[string]item), leases: make(map[int64]lease), changed: make(chan struct{})}
	go func() {
		for now := range time.Tick(50 * time.Millisecond) {
			s.expire(now)
		}
	}()
	mux := http.NewServeMux()
	mux.HandleFunc("GET /-/kv-key", s.get)
	mux.HandleFunc("GET /-/kv-range", s.list)
	mux.HandleFunc("GET /-/kv-watch", s.watch)
	mux.HandleFunc("POST /-/kv-txn", s.commit)
	mux.HandleFunc("POST /-/kv-lease", s.grant)
	mux.HandleFunc("POST /-/kv-keep/{id}", s.keep)
	mux.HandleFunc("DELETE /-/kv-lease-end/{id}", s.endLease)
	fmt.Println(http.ListenAndServe(*address, mux))
	return exitCannot
}

func answerJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Store-Era", "1")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}

// record adds a change to the history. The caller holds mu.
func (s *store) record(i item) {
	i.at = time.Now()
	s.history = append(s.history, i)
	close(s.changed)
	s.changed = make(chan struct{})
}

// remove removes a key. The caller holds mu.
func (s *store) remove(key string) {
	if _, ok := s.items[key]; ok {
		delete(s.items, key)
		s.record(item{Key: key, Revision: s.revision, Tombstone: true})
	}
}

// expire ends leases and drops old history.
func (s *store) expire(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, l := range s.leases {
		if now.Before(l.end) {
			continue
		}
		delete(s.leases, id)
		for key, i := range s.items {
			if i.Lease == id {
				s.revision++
				s.remove(key)
			}
		}
	}
	for len(s.history) > 0 && now.Sub(s.history[0].at) > historyTime {
		s.dropped = s.history[0].Revision
		s.history = s.history[1:]
	}
}

func (s *store) get(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	i, ok := s.items[r.URL.Query().Get("key")]
	revision := s.revision
	s.mu.Unlock()
	if !ok {
		answerJSON(w, http.StatusNotFound, struct{}{})
		return
	}
	answerJSON(w, http.StatusOK, struct {
		item
		CurrentRev int64 `json:"currentRev"`
	}{i, revision})
}

func (s *store) list(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	items := []item{}
	s.mu.Lock()
	for key, i := range s.items {
		if strings.HasPrefix(key, q.Get("prefix")) && key > q.Get("after") {
			items = append(items, i)
		}
	}
	revision := s.revision
	s.mu.Unlock()
	sort.Slice(items, func(a, b int) bool { return items[a].Key < items[b].Key })
	more := len(items) > pageItems
	answerJSON(w, http.StatusOK, map[string]any{"items": items[:min(len(items), pageItems)], "morePages": more, "currentRev": revision})
}

func (s *store) watch(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseInt(q.Get("after"), 10, 64)
	wait, _ := strconv.ParseInt(q.Get("waitMs"), 10, 64)
	timeout := time.After(time.Duration(wait) * time.Millisecond)
	for last := false; ; {
		events := []item{}
		s.mu.Lock()
		for _, i := range s.history {
			if i.Revision > after && strings.HasPrefix(i.Key, q.Get("prefix")) {
				events = append(events, i)
			}
		}
		revision, changed, gone := s.revision, s.changed, after < s.dropped || after > s.revision
		s.mu.Unlock()
		switch {
		case gone:
			answerJSON(w, http.StatusGone, struct{}{})
			return
		case len(events) > 0 || last:
			answerJSON(w, http.StatusOK, map[string]any{"events": events, "currentRev": revision})
			return
		}
		select {
		case <-changed:
		case <-timeout:
			last = true
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) commit(w http.ResponseWriter, r *http.Request) {
	var t struct {
		ExpectRev []item   `json:"expectRev"`
		Writes    []item   `json:"writes"`
		Remove    []string `json:"remove"`
	}
	if err := json.NewDecoder(r.Body).Decode(&t); err != nil {
		answerJSON(w, http.StatusBadRequest, struct{}{})
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	current := []item{}
	holds := true
	for _, c := range t.ExpectRev {
		i, ok := s.items[c.Key]
		if ok {
			current = append(current, i)
		}
		holds = holds && i.Revision == c.Revision
	}
	if !holds {
		answerJSON(w, http.StatusPreconditionFailed, map[string]any{"items": current})
		return
	}
	for _, i := range t.Writes {
		if _, ok := s.leases[i.Lease]; i.Lease != 0 && !ok {
			answerJSON(w, http.StatusNotFound, struct{}{})
			return
		}
	}
	s.revision++
	for _, i := range t.Writes {
		i.Revision, i.Created = s.revision, s.revision
		if old, ok := s.items[i.Key]; ok {
			i.Created = old.Created
		}
		s.items[i.Key] = i
		s.record(i)
	}
	for _, key := range t.Remove {
		s.remove(key)
	}
	answerJSON(w, http.StatusOK, map[string]any{"revision": s.revision})
}

func (s *store) grant(w http.ResponseWriter, r *http.Request) {
	var l struct {
		TTLMs int64 `json:"ttlMs"`
	}
	_ = json.NewDecoder(r.Body).Decode(&l)
	s.mu.Lock()
	s.revision++
	id := s.revision
	ttl := time.Duration(l.TTLMs) * time.Millisecond
	s.leases[id] = lease{ttl, time.Now().Add(ttl)}
	s.mu.Unlock()
	answerJSON(w, http.StatusOK, map[string]any{"lease": id, "ttlMs": l.TTLMs})
}

func (s *store) keep(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseInt(r.PathValue("id"), 10, 64)
	s.mu.Lock()
	l, ok := s.leases[id]
	if ok {
		s.leases[id] = lease{l.ttl, time.Now().Add(l.ttl)}
	}
	s.mu.Unlock()
	if !ok {
		answerJSON(w, http.StatusNotFound, struct{}{})
		return
	}
	answerJSON(w, http.StatusOK, map[string]any{"ttlMs": l.ttl.Milliseconds()})
}

func (s *store) endLease(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseInt(r.PathValue("id"), 10, 64)
	s.mu.Lock()
	l, ok := s.leases[id]
	if ok {
		l.end = time.Time{}
		s.leases[id] = l
	}
	s.mu.Unlock()
	s.expire(time.Now())
	if !ok {
		answerJSON(w, http.StatusNotFound, struct{}{})
		return
	}
	answerJSON(w, http.StatusOK, struct{}{})
}
