// Command store is a stand-in for the platform's store.
package main

import (
	"cmp"
	"encoding/json"
	"flag"
	"log"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	historyTime = 20 * time.Second
	pageItems   = 500
	// pageBytes bounds the values of a page and of the answer to a watch.
	pageBytes  = 1 << 20
	maxEntries = 32
)

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
	ttl     time.Duration
	expires time.Time
}

type store struct {
	mu       sync.Mutex
	revision int64
	dropped  int64 // newest revision that the history does not have any more
	items    map[string]item
	history  []item
	leases   map[int64]lease
	changed  chan struct{}
}

func main() {
	listen := flag.String("listen", "", "IP:PORT")
	flag.Parse()
	s := &store{revision: 400, dropped: 400, items: make(map[string]item), leases: make(map[int64]lease), changed: make(chan struct{})}
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
	mux.HandleFunc("POST /-/kv-keep/{lease}", s.keep)
	mux.HandleFunc("DELETE /-/kv-lease-end/{lease}", s.endLease)
	log.Fatal(http.ListenAndServe(*listen, mux))
}

func reply(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}

// change records a change at the current revision. The caller holds mu.
func (s *store) change(v item) {
	v.Revision, v.at = s.revision, time.Now()
	if v.Tombstone {
		delete(s.items, v.Key)
	} else {
		v.Created = s.revision
		if old, ok := s.items[v.Key]; ok {
			v.Created = old.Created
		}
		s.items[v.Key] = v
	}
	s.history = append(s.history, v)
}

// announce wakes the watches. The caller holds mu.
func (s *store) announce() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// expire ends leases and drops history that is too old.
func (s *store) expire(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, l := range s.leases {
		if now.After(l.expires) {
			s.end(id)
		}
	}
	for len(s.history) > 0 && now.Sub(s.history[0].at) > historyTime {
		s.dropped = s.history[0].Revision
		s.history = s.history[1:]
	}
}

// end ends a lease and removes its keys. The caller holds mu.
func (s *store) end(id int64) {
	delete(s.leases, id)
	for key, v := range s.items {
		if v.Lease == id {
			s.revision++
			s.change(item{Key: key, Tombstone: true})
			s.announce()
		}
	}
}

func (s *store) get(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	v, ok := s.items[r.URL.Query().Get("key")]
	revision := s.revision
	s.mu.Unlock()
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	reply(w, http.StatusOK, struct {
		item
		CurrentRev int64 `json:"currentRev"`
	}{v, revision})
}

func (s *store) list(w http.ResponseWriter, r *http.Request) {
	prefix, after := r.URL.Query().Get("prefix"), r.URL.Query().Get("after")
	found := []item{}
	s.mu.Lock()
	for key, v := range s.items {
		if strings.HasPrefix(key, prefix) && key > after {
			found = append(found, v)
		}
	}
	revision := s.revision
	s.mu.Unlock()
	slices.SortFunc(found, func(a, b item) int { return cmp.Compare(a.Key, b.Key) })
	n, size := 0, 0
	for n < len(found) && n < pageItems && (n == 0 || size+len(found[n].Value) <= pageBytes) {
		size += len(found[n].Value)
		n++
	}
	reply(w, http.StatusOK, map[string]any{"items": found[:n], "morePages": n < len(found), "currentRev": revision})
}

func (s *store) watch(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	after, err := strconv.ParseInt(query.Get("after"), 10, 64)
	wait, waitErr := strconv.Atoi(query.Get("waitMs"))
	if err != nil || waitErr != nil || wait < 0 || wait > 30_000 {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	timer := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timer.Stop()
	for {
		s.mu.Lock()
		events, revision := []item{}, s.revision
		gone, size := after < s.dropped || after > s.revision, 0
		for i, v := range s.history {
			if v.Revision <= after || !strings.HasPrefix(v.Key, query.Get("prefix")) {
				continue
			}
			// Changes of one revision stay together.
			if size += len(v.Value); size > pageBytes && len(events) > 0 && v.Revision > s.history[i-1].Revision {
				revision = s.history[i-1].Revision
				break
			}
			events = append(events, v)
		}
		changed := s.changed
		s.mu.Unlock()
		if gone {
			w.WriteHeader(http.StatusGone)
			return
		}
		if len(events) > 0 {
			reply(w, http.StatusOK, map[string]any{"events": events, "currentRev": revision})
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			reply(w, http.StatusOK, map[string]any{"events": events, "currentRev": revision})
			return
		case <-r.Context().Done():
			return
		}
	}
}

type txn struct {
	ExpectRev []struct {
		Key      string `json:"key"`
		Revision int64  `json:"revision"`
	} `json:"expectRev"`
	Writes []item   `json:"writes"`
	Remove []string `json:"remove"`
}

func (s *store) commit(w http.ResponseWriter, r *http.Request) {
	var t txn
	if err := json.NewDecoder(r.Body).Decode(&t); err != nil || len(t.ExpectRev)+len(t.Writes)+len(t.Remove) > maxEntries {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	current, met := []item{}, true
	for _, c := range t.ExpectRev {
		v, ok := s.items[c.Key]
		if ok {
			current = append(current, v)
		}
		met = met && v.Revision == c.Revision
	}
	if !met {
		reply(w, http.StatusPreconditionFailed, map[string]any{"items": current})
		return
	}
	for _, v := range t.Writes {
		if _, ok := s.leases[v.Lease]; v.Lease != 0 && !ok {
			w.WriteHeader(http.StatusNotFound)
			return
		}
	}
	s.revision++
	for _, v := range t.Writes {
		s.change(item{Key: v.Key, Value: v.Value, Lease: v.Lease})
	}
	for _, key := range t.Remove {
		if _, ok := s.items[key]; ok {
			s.change(item{Key: key, Tombstone: true})
		}
	}
	s.announce()
	reply(w, http.StatusOK, map[string]any{"revision": s.revision})
}

func (s *store) grant(w http.ResponseWriter, r *http.Request) {
	var request struct {
		TTLMs int64 `json:"ttlMs"`
	}
	if err := json.NewDecoder(r.Body).Decode(&request); err != nil || request.TTLMs < 1000 {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	ttl := time.Duration(request.TTLMs) * time.Millisecond
	s.leases[s.revision] = lease{ttl, time.Now().Add(ttl)}
	reply(w, http.StatusOK, map[string]any{"lease": s.revision, "ttlMs": request.TTLMs})
}

func (s *store) keep(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseInt(r.PathValue("lease"), 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	l, ok := s.leases[id]
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	l.expires = time.Now().Add(l.ttl)
	s.leases[id] = l
	reply(w, http.StatusOK, map[string]any{"ttlMs": l.ttl.Milliseconds()})
}

func (s *store) endLease(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseInt(r.PathValue("lease"), 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.leases[id]; !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	s.end(id)
	reply(w, http.StatusOK, struct{}{})
}
