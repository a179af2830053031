package platform

import (
	"net/http"
	"strconv"
	"time"
)

type leaseReply struct{ Lease string }

func (s *Server) grant(w http.ResponseWriter, r *http.Request) {
	if !s.admit(w, s.writes, &s.counts.Writes) {
		return
	}
	ttl, err := time.ParseDuration(r.URL.Query().Get("ttl"))
	if err != nil || ttl <= 0 {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	s.revision++
	lease := "lease-" + strconv.FormatInt(s.revision, 10)
	s.leases[lease] = time.Now().Add(ttl)
	s.ttls[lease] = ttl
	s.mu.Unlock()
	s.answer(w, leaseReply{lease})
}

func (s *Server) keepAlive(w http.ResponseWriter, r *http.Request) {
	if !s.admit(w, s.writes, &s.counts.Writes) {
		return
	}
	lease := r.PathValue("lease")
	s.mu.Lock()
	ttl, ok := s.ttls[lease]
	if ok {
		s.leases[lease] = time.Now().Add(ttl)
	}
	s.mu.Unlock()
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	s.answer(w, leaseReply{lease})
}
