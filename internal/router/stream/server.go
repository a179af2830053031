// Package stream carries attempts between an entry and a keeper on different
// hosts, as lines of JSON over HTTP. Each attempt has a connection of its own, so
// that one that goes silent harms no other.
package stream

import (
	"encoding/json"
	"net/http"
	"time"

	"wisteriafield/internal/router/keeper"
)

const maxBody = 64 << 20 // bytes: a prompt and an answer so far

// ReplicaSource is a place where a copy of a generation may be.
type ReplicaSource interface {
	Follow(generation, organisation string) (keeper.Stream, error)
}

// Server serves a keeper, and the copies of this host, to other routers.
type Server struct {
	keeper *keeper.Keeper
	copies []ReplicaSource
}

// NewServer returns a server for a keeper. Copies are looked for in the order of
// the sources.
func NewServer(k *keeper.Keeper, sources ...ReplicaSource) *Server {
	return &Server{keeper: k, copies: sources}
}

// Register adds the routes.
func (s *Server) Register(mux *http.ServeMux) {
	mux.HandleFunc("POST "+attemptsPath, s.start)
	mux.HandleFunc("POST "+followPath, s.follow)
	mux.HandleFunc("POST "+cancelPath, s.cancel)
}

func (s *Server) start(w http.ResponseWriter, r *http.Request) {
	var body startBody
	if !decode(w, r, &body) {
		return
	}
	st, err := s.keeper.Start(body.request(time.Now()))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	send(w, r, st)
}

func (s *Server) follow(w http.ResponseWriter, r *http.Request) {
	var body followBody
	if !decode(w, r, &body) {
		return
	}
	for _, source := range s.copies {
		if st, err := source.Follow(body.Generation, body.Organisation); err == nil {
			send(w, r, st)
			return
		}
	}
	w.WriteHeader(http.StatusNotFound)
}

func (s *Server) cancel(w http.ResponseWriter, r *http.Request) {
	var body cancelBody
	if !decode(w, r, &body) {
		return
	}
	s.keeper.Cancel(body.Attempt)
}

// send writes the events until the stream or the peer ends. Tokens that are
// ready together are flushed together.
func send(w http.ResponseWriter, r *http.Request, st keeper.Stream) {
	defer st.Close()
	stop := make(chan struct{})
	defer close(stop)
	go func() {
		select {
		case <-r.Context().Done():
			st.Close()
		case <-stop:
		}
	}()
	w.Header().Set("Content-Type", contentType)
	w.WriteHeader(http.StatusOK)
	control := http.NewResponseController(w)
	out := json.NewEncoder(w)
	for {
		event, err := st.Next()
		if err != nil {
			return
		}
		if err := out.Encode(newEventLine(event)); err != nil {
			return
		}
		if err := control.Flush(); err != nil {
			return
		}
	}
}

func decode(w http.ResponseWriter, r *http.Request, into any) bool {
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBody)).Decode(into); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return false
	}
	return true
}
